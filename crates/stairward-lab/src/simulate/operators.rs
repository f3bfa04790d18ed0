//! The platform's store and the operators of a run.

use std::time::Duration;

use stairward_checker::HistoryEvent;
use stairward_settings::{Change, SettingsOption, SettingsPath, Value};
use stairward_types::{AdminState, BackendId, ChangeId, Time};

use super::message::{StoreAnswered, StoreRead};
use super::store::{EditResult, OperatorTask, Reader};
use super::world::{World, WorldEvent};

/// An operator's time between looking at the settings and sending the edit.
const LOOKING_TIME: Duration = Duration::from_millis(5);
/// An operator's pause before trying again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// What a slow store adds to each answer, at least and at most.
const SLOWNESS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(3_000));
/// Time between the edits that happen in every run.
const EDIT_INTERVAL: Duration = Duration::from_secs(3);
/// Such edits in a run.
const EDITS: u64 = 4;
/// The store forgets about readers that wait at this pace.
const WAIT_SLACK: Duration = Duration::from_micros(1);

impl World<'_> {
    /// Plans the edits that happen in every run.
    pub(super) fn plan_edits(&mut self) {
        for number in 0..EDITS {
            let change = Change::Set {
                path: SettingsPath::Root,
                option: SettingsOption::LeaveTimeout,
                value: Value::Integer(20_000 + number),
            };
            let task = self.operator_task(vec![change], None);
            let at = Time::ZERO + EDIT_INTERVAL * (u32::try_from(number).unwrap_or_default() + 1);
            self.queue.at(at, WorldEvent::Operator(Box::new(task)));
        }
    }

    fn operator_task(
        &mut self,
        changes: Vec<Change>,
        mark: Option<(BackendId, AdminState)>,
    ) -> OperatorTask {
        self.next_change += 1;
        OperatorTask {
            changes,
            mark,
            based_on: None,
            change_id: ChangeId(self.next_change),
        }
    }

    /// An operator begins to edit the settings.
    pub(super) fn begin_edit(
        &mut self,
        changes: Vec<Change>,
        mark: Option<(BackendId, AdminState)>,
    ) {
        let task = self.operator_task(changes, mark);
        self.operator_goes_on(task);
    }

    /// An operator looks at the settings, or sends the edit.
    pub(super) fn operator_goes_on(&mut self, mut task: OperatorTask) {
        let now = self.queue.now();
        if self.store.is_down {
            let event = WorldEvent::Operator(Box::new(task));
            return self.queue.at(now + RETRY_PAUSE, event);
        }
        let Some(based_on) = task.based_on else {
            task.based_on = Some(self.store.revision());
            let event = WorldEvent::Operator(Box::new(task));
            return self.queue.at(now + LOOKING_TIME, event);
        };
        match self.store.edit(&task, based_on) {
            EditResult::Accepted(revision) => {
                self.log(|| format!("edit accepted as revision {revision}"));
                self.edit_accepted(task);
            }
            EditResult::Conflict => {
                let again = self.operator_task(task.changes, task.mark);
                let event = WorldEvent::Operator(Box::new(again));
                self.queue.at(now + LOOKING_TIME, event);
            }
            EditResult::AcceptedBefore | EditResult::Invalid => {}
        }
    }

    fn edit_accepted(&mut self, task: OperatorTask) {
        self.settings_accepted();
        if let Some((backend, state)) = task.mark.clone() {
            self.record(HistoryEvent::BackendMarked { backend, state });
        }
        if self.store.loses_replies {
            // The operator cannot tell and sends the same edit again.
            let event = WorldEvent::Operator(Box::new(task));
            self.queue.at(self.queue.now() + RETRY_PAUSE, event);
        }
        let (readers, answer) = self.store.wake_readers();
        for reader in readers {
            self.answer_reader(reader, answer.clone());
        }
    }

    /// Records the newest revision as accepted.
    pub(super) fn settings_accepted(&mut self) {
        if let Ok(resolved) = self.store.document().resolve() {
            self.resolved = resolved;
        }
        self.record(HistoryEvent::SettingsAccepted {
            revision: self.store.revision(),
        });
    }

    /// The store hears a read.
    pub(super) fn store_hears(&mut self, reader: Reader, request: &StoreRead) {
        if self.store.is_down {
            return;
        }
        match self.store.read(self.queue.now(), reader, request) {
            Ok(answer) => self.answer_reader(reader, answer),
            Err(until) => self.queue.at(until + WAIT_SLACK, WorldEvent::StoreDue),
        }
    }

    /// Reads that have waited long enough are answered with nothing new.
    pub(super) fn store_due(&mut self) {
        let nothing = StoreAnswered { newer: None };
        for reader in self.store.end_waiting(self.queue.now()) {
            if !self.store.is_down {
                self.answer_reader(reader, nothing.clone());
            }
        }
    }

    fn answer_reader(&mut self, reader: Reader, answer: StoreAnswered) {
        if self.store.is_down || self.store.loses_replies && self.random.chance(0.5) {
            return;
        }
        if self.store.is_slow {
            let (least, most) = SLOWNESS;
            let late = self.random.between(least, most);
            let input = super::proxy::ProxyInput::Store(reader.read, answer);
            let event = WorldEvent::Proxy(reader.proxy, reader.life, Box::new(input));
            return self.queue.at(self.queue.now() + late, event);
        }
        self.send_store_answer(reader, answer);
    }
}
