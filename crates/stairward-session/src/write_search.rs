//! Search for writes and locks in a syntax tree.

use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, ObjectName, Query, Select, SetExpr, Statement, TableFactor, Visit, Visitor,
};
use stairward_types::AccessClass;

use crate::class::{StatementClass, UnsupportedFeature};
use crate::classify::{read_class, unquoted_name};
use crate::pure_functions::{is_pure_function, is_session_lock_function};

/// Classifies a statement by searching its syntax tree.
pub(crate) fn classify_by_syntax_tree(statement: &Statement) -> StatementClass {
    let mut search = WriteSearch {
        class: read_class(),
    };
    let _: ControlFlow<()> = statement.visit(&mut search);
    search.class
}

/// Syntax tree visitor that searches for anything that writes or locks.
struct WriteSearch {
    class: StatementClass,
}

impl WriteSearch {
    fn check_function(&mut self, name: &ObjectName) {
        let name = unquoted_name(name);
        let name = name.strip_prefix("pg_catalog.").unwrap_or(&name);
        if is_session_lock_function(name) {
            self.class.refused = Some(UnsupportedFeature::AdvisoryLock);
        }
        if !is_pure_function(name) {
            self.mark_write();
            // It may change session state, for example by calling set_config.
            self.class.alters_session = true;
        }
    }

    fn mark_write(&mut self) {
        self.class.access = AccessClass::Write;
    }
}

impl Visitor for WriteSearch {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        let is_read = matches!(statement, Statement::Query(_) | Statement::Declare { .. });
        if !is_read {
            self.mark_write();
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let writes = matches!(
            *query.body,
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_)
        );
        if writes || !query.locks.is_empty() {
            self.mark_write();
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if select.into.is_some() {
            self.mark_write();
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table {
                name,
                args: Some(_),
                ..
            }
            | TableFactor::Function { name, .. } => self.check_function(name),
            TableFactor::Table { .. }
            | TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. }
            | TableFactor::UNNEST { .. } => {}
            _ => self.mark_write(),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        if let Expr::Function(function) = expression {
            self.check_function(&function.name);
        }
        ControlFlow::Continue(())
    }
}
