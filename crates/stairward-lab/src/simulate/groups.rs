//! The database groups of a run: what they hear, and when they are due.

use stairward_standins::ConnectionNumber;
use stairward_types::{BackendId, Time};

use super::database::{DatabaseReply, DatabaseRequest, GroupOutput};
use super::world::{World, WorldEvent};

impl World<'_> {
    pub(super) fn database_hears(
        &mut self,
        backend: &BackendId,
        connection: ConnectionNumber,
        request: DatabaseRequest,
    ) {
        let Some(group) = self.layout.databases.get(backend).map(|place| place.group) else {
            return;
        };
        let is_close = matches!(request, DatabaseRequest::Close);
        let now = self.queue.now();
        let outputs = self.groups[group].request(now, backend, connection, request);
        self.group_outputs(group, outputs);
        if is_close {
            self.send_database_reply(backend.clone(), connection, DatabaseReply::Closed);
            self.links.remove(&connection);
        }
    }

    /// A group's moment has come, unless it was due earlier and has run since.
    pub(super) fn group_is_due(&mut self, group: usize) {
        let now = self.queue.now();
        if self.group_due[group] > now {
            return;
        }
        self.group_due[group] = Time::NEVER;
        let outputs = self.groups[group].wake(now);
        self.group_outputs(group, outputs);
    }

    /// Carries out what a group says, and notes when it is due next.
    pub(super) fn group_outputs(&mut self, group: usize, outputs: Vec<GroupOutput>) {
        for output in outputs {
            match output {
                GroupOutput::Reply {
                    member,
                    connection,
                    reply,
                } => self.send_database_reply(member, connection, reply),
                GroupOutput::Elected { term } => {
                    let id = self.groups[group].id.clone();
                    let now = self.queue.now();
                    self.metrics.failovers.elected(now, &id, term);
                    self.log(|| format!("group {id} elected a primary in term {term}"));
                }
            }
        }
        if let Some(due) = self.groups[group].wake_at()
            && due < self.group_due[group]
        {
            self.group_due[group] = due;
            self.queue.at(due, WorldEvent::GroupDue(group));
        }
    }

    /// The number of the next unused connection to a database.
    pub(super) fn new_connection(&mut self) -> ConnectionNumber {
        self.next_connection += 1;
        ConnectionNumber(self.next_connection)
    }
}
