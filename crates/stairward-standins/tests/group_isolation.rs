//! Transactions under random interleavings, and statements built at random.

mod support;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use stairward_standins::group::RequestNumber;
use support::bench::{Bench, Client};
use support::{group_config, member_names};

const CLIENTS: usize = 3;
const ROWS: u8 = 3;
const STEPS: usize = 40;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Action {
    Begin { snapshot: bool },
    Increment { row: u8 },
    IncrementTwo { row: u8 },
    Savepoint,
    RollbackToSavepoint,
    Commit,
    Rollback,
    Pass,
}

/// A client, and what its open transaction must come to.
struct Worker {
    client: Client,
    outstanding: Option<(RequestNumber, Action)>,
    in_block: bool,
    failed: bool,
    increments: BTreeMap<u8, i64>,
    at_savepoint: Option<BTreeMap<u8, i64>>,
}

struct Model {
    bench: Bench,
    workers: Vec<Worker>,
    committed: BTreeMap<u8, i64>,
}

impl Model {
    fn new() -> Self {
        let members = member_names(1);
        let mut bench = Bench::new(&group_config(&members), 1);
        let workers = (0..CLIENTS).map(|_| Worker {
            client: bench.open(&members[0]),
            outstanding: None,
            in_block: false,
            failed: false,
            increments: BTreeMap::new(),
            at_savepoint: None,
        });
        let workers: Vec<Worker> = workers.collect();
        let first = workers[0].client.clone();
        bench.done(&first, "CREATE TABLE counter (id int PRIMARY KEY, n int)");
        bench.done(
            &first,
            "INSERT INTO counter SELECT generate_series, 0 FROM generate_series(0, 2)",
        );
        Self {
            bench,
            workers,
            committed: BTreeMap::new(),
        }
    }

    fn step(&mut self, choice: u8, action: Action) {
        let place = usize::from(choice) % CLIENTS;
        if self.workers[place].outstanding.is_some() {
            self.bench.advance_millis(1);
        } else if let Some(sql) = statement(action) {
            let client = self.workers[place].client.clone();
            let request = self.bench.start(&client, &sql);
            self.workers[place].outstanding = Some((request, action));
            self.bench.advance_millis(1);
        }
        self.collect();
    }

    /// Takes in the statements that have ended.
    fn collect(&mut self) {
        for worker in &mut self.workers {
            let Some((request, action)) = worker.outstanding else {
                continue;
            };
            let Some(result) = self.bench.result(request) else {
                continue;
            };
            worker.outstanding = None;
            let tag = result.as_ref().ok().map(|answer| answer.tag.clone());
            let committed = worker.ended(action, tag.as_deref());
            for (row, count) in committed {
                *self.committed.entry(row).or_default() += count;
            }
        }
    }

    fn settle(&mut self) {
        for _ in 0..CLIENTS {
            for place in 0..CLIENTS {
                let client = self.workers[place].client.clone();
                if self.workers[place].outstanding.is_none() {
                    let request = self.bench.start(&client, "ROLLBACK");
                    self.workers[place].outstanding = Some((request, Action::Rollback));
                }
            }
            self.bench.advance_millis(20);
            self.collect();
        }
    }
}

impl Worker {
    /// Notes how a statement ended. Returns the increments that are now committed.
    fn ended(&mut self, action: Action, tag: Option<&str>) -> BTreeMap<u8, i64> {
        match (action, tag) {
            (Action::Begin { .. }, Some(_)) => self.in_block = true,
            (Action::Increment { row }, Some(_)) => self.add(row, 1),
            (Action::IncrementTwo { row }, Some(_)) => {
                self.add(row % ROWS, 1);
                self.add(row % ROWS + 1, 1);
            }
            (Action::Savepoint, Some(_)) => self.at_savepoint = Some(self.increments.clone()),
            (Action::RollbackToSavepoint, Some(_)) => {
                self.increments = self.at_savepoint.clone().unwrap_or_default();
                self.failed = false;
            }
            (Action::Commit | Action::Rollback, Some(tag)) => {
                let increments = std::mem::take(&mut self.increments);
                let kept = tag == "COMMIT" && !self.failed;
                self.in_block = false;
                self.failed = false;
                self.at_savepoint = None;
                return if kept { increments } else { BTreeMap::new() };
            }
            (_, Some(_)) => {}
            (_, None) => self.failed = self.in_block,
        }
        if self.in_block {
            return BTreeMap::new();
        }
        std::mem::take(&mut self.increments)
    }

    fn add(&mut self, row: u8, count: i64) {
        *self.increments.entry(row % ROWS).or_default() += count;
    }
}

fn statement(action: Action) -> Option<String> {
    let sql = match action {
        Action::Begin { snapshot: false } => "BEGIN".to_owned(),
        Action::Begin { snapshot: true } => "BEGIN ISOLATION LEVEL SERIALIZABLE".to_owned(),
        Action::Increment { row } => {
            format!("UPDATE counter SET n = n + 1 WHERE id = {}", row % ROWS)
        }
        Action::IncrementTwo { row } => {
            let (first, second) = (row % ROWS, (row % ROWS + 1) % ROWS);
            format!("UPDATE counter SET n = n + 1 WHERE id IN ({first}, {second})")
        }
        Action::Savepoint => "SAVEPOINT here".to_owned(),
        Action::RollbackToSavepoint => "ROLLBACK TO SAVEPOINT here".to_owned(),
        Action::Commit => "COMMIT".to_owned(),
        Action::Rollback => "ROLLBACK".to_owned(),
        Action::Pass => return None,
    };
    Some(sql)
}

#[test]
fn no_update_is_lost_and_none_counts_twice() {
    stairward_testing::check!()
        .with_type::<[(u8, Action); STEPS]>()
        .for_each(|steps| {
            let mut model = Model::new();
            for (choice, action) in steps {
                model.step(*choice, *action);
            }
            model.settle();
            let client = model.workers[0].client.clone();
            let rows = model.bench.rows(&client, "SELECT id, n FROM counter");
            let expected: Vec<String> = (0..ROWS)
                .map(|row| format!("{row}|{}", model.committed.get(&row).unwrap_or(&0)))
                .collect();
            assert_eq!(rows, expected);
        });
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Leaf {
    Id,
    Count,
    Number(i64),
    Text(u8),
    Null,
    True,
    Parameter,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Shape {
    Plus,
    Times,
    Divide,
    Equal,
    Less,
    And,
    In,
    IsNull,
    Cast,
    Sum,
    CountAll,
    Coalesce,
    Repeat,
    Case,
    AdvisoryLock,
    Terminate,
    Setting,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Expression {
    shape: Shape,
    left: Leaf,
    right: Leaf,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Template {
    Select,
    Series,
    Insert,
    Update,
    Delete,
    Set,
}

impl Leaf {
    fn sql(self) -> String {
        match self {
            Self::Id => "id".to_owned(),
            Self::Count => "n".to_owned(),
            Self::Number(number) => number.to_string(),
            Self::Text(number) => format!("'{number}x'"),
            Self::Null => "NULL".to_owned(),
            Self::True => "true".to_owned(),
            Self::Parameter => "$3".to_owned(),
        }
    }
}

impl Expression {
    fn sql(self) -> String {
        let (left, right) = (self.left.sql(), self.right.sql());
        match self.shape {
            Shape::Plus => format!("({left} + {right})"),
            Shape::Times => format!("({left} * {right})"),
            Shape::Divide => format!("({left} / {right})"),
            Shape::Equal => format!("({left} = {right})"),
            Shape::Less => format!("({left} < {right})"),
            Shape::And => format!("({left} AND NOT {right})"),
            Shape::In => format!("({left} IN ({right}, 1))"),
            Shape::IsNull => format!("({left} IS NULL)"),
            Shape::Cast => format!("({left})::int"),
            Shape::Sum => format!("SUM({left})"),
            Shape::CountAll => "COUNT(*)".to_owned(),
            Shape::Coalesce => format!("COALESCE({left}, {right})"),
            Shape::Repeat => format!("repeat('ab', {right})"),
            Shape::Case => format!("CASE WHEN {left} THEN {right} END"),
            Shape::AdvisoryLock => format!("pg_try_advisory_lock({left}, {right})"),
            Shape::Terminate => format!("pg_terminate_backend({left})"),
            Shape::Setting => format!("set_config('a.b', {left}, {right})"),
        }
    }
}

fn built(template: Template, first: Expression, second: Expression) -> String {
    let (first, second) = (first.sql(), second.sql());
    match template {
        Template::Select => format!(
            "SELECT {first}, * FROM counter WHERE {second} ORDER BY {first} DESC LIMIT {second}"
        ),
        Template::Series => format!("SELECT {first} FROM generate_series({second}, 3) AS n"),
        Template::Insert => {
            format!("INSERT INTO counter VALUES ({first}, {second}) RETURNING {second}")
        }
        Template::Update => format!("UPDATE counter SET n = {first} WHERE {second} RETURNING *"),
        Template::Delete => format!("DELETE FROM counter WHERE {first} RETURNING {second}"),
        Template::Set => format!("SET a.b = {first}"),
    }
}

#[test]
fn no_statement_harms_the_group() {
    stairward_testing::check!()
        .with_type::<[(Template, Expression, Expression); 8]>()
        .for_each(|statements| {
            let mut model = Model::new();
            let member = model.workers[0].client.member.clone();
            for (template, first, second) in statements {
                let client = model.bench.open(&member);
                let sql = built(*template, *first, *second);
                let request = model.bench.start(&client, &sql);
                model.bench.advance_millis(2);
                let ended = model.bench.ended_with(&client).is_some();
                assert!(ended || model.bench.result(request).is_some(), "{sql}");
            }
            let client = model.bench.open(&member);
            assert_eq!(model.bench.rows(&client, "SELECT 1"), ["1"]);
        });
}
