//! Anti-entropy: compares views with peers, so that they converge even after lost updates or a
//! partition.
//!
//! Every packet carries a digest of its sender's view. When peers' digests have differed for some
//! time, a node sends one of these peers a digest per bucket of the hashed key space. The peer
//! answers with its records of some differing buckets, one datagram per bucket, and the node
//! returns the records that the peer is missing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, RngExt as _};
use stairward_protocol::datagram::MAXIMUM_DATAGRAM_BYTES;
use stairward_types::{Duration, NodeId, Time};

use super::{Step, SwimMember};
use crate::member::{Record, Status, Version};
use crate::packet::{BucketDigests, Message, PacketDigest, TermUpdate, Update};
use crate::wire::{term_length, update_length};

/// Bytes reserved for header, message and proof.
const ENVELOPE_BYTES: usize = 100;
/// Maximum number of datagrams sent in answer to comparisons per [`ANSWER_WINDOW`].
const MAXIMUM_ANSWERS: u32 = 256;
/// The window of [`MAXIMUM_ANSWERS`].
const ANSWER_WINDOW: Duration = Duration::from_secs(1);

/// Schedules comparisons and limits the rate of answers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Comparison {
    /// Since when peers' digests have differed without a gap longer than the delay.
    differing_since: Time,
    last_difference: Option<Time>,
    next: Time,
    /// Whether this node's digest has matched a peer's since it started or was last paused.
    pub has_joined: bool,
    window_start: Time,
    answers: u32,
}

impl Comparison {
    /// Handles a peer's digest and returns whether to compare views with this peer now. Updates in
    /// transit make digests differ briefly; only a lasting difference means that some were lost.
    /// Matching digests do not reset the delay, because peers with equal views may miss the same
    /// updates.
    fn should_compare(&mut self, agrees: bool, delay: Duration, now: Time) -> bool {
        if agrees {
            return false;
        }
        let is_continued = self
            .last_difference
            .is_some_and(|last| now.since(last) <= delay);
        if !is_continued {
            self.differing_since = now;
        }
        self.last_difference = Some(now);
        let has_waited = !self.has_joined || now.since(self.differing_since) >= delay;
        has_waited && now >= self.next
    }

    /// Counts an answer and returns whether the rate limit permits it.
    fn try_count_answer(&mut self, now: Time) -> bool {
        if now.since(self.window_start) >= ANSWER_WINDOW {
            self.window_start = now;
            self.answers = 0;
        }
        self.answers += 1;
        self.answers <= MAXIMUM_ANSWERS
    }
}

impl SwimMember {
    pub(super) fn compare_digests(
        &mut self,
        from: SocketAddr,
        digest: PacketDigest,
        step: &mut Step<'_>,
    ) {
        if self.has_departed {
            return;
        }
        let delay = self.config.sync_delay;
        let is_catching_up = self.is_catching_up(step.now);
        let agrees = digest.members == self.table.digest();
        self.member_comparison.has_joined |= agrees && !is_catching_up;
        if self
            .member_comparison
            .should_compare(agrees, delay, step.now)
        {
            self.member_comparison.next = step.now + self.comparison_interval(step.rng);
            let digests = Box::new(*self.table.buckets());
            let message = Message::CompareMembers { digests };
            self.send(from, message, Vec::new(), step);
        }
        let agrees = digest.terms == self.terms.digest();
        self.term_comparison.has_joined |= agrees && !is_catching_up;
        if self.term_comparison.should_compare(agrees, delay, step.now) {
            self.term_comparison.next = step.now + self.comparison_interval(step.rng);
            let digests = Box::new(*self.terms.buckets());
            let message = Message::CompareTerms { digests };
            self.send(from, message, Vec::new(), step);
        }
    }

    fn comparison_interval(&self, rng: &mut dyn Rng) -> Duration {
        self.config.sync_interval.mul_f64(0.5 + rng.random::<f64>())
    }

    /// Schedules the next comparison earlier after an answer with new information.
    pub(super) fn reschedule_comparison(
        &mut self,
        message: &Message,
        has_new_members: bool,
        has_new_terms: bool,
        now: Time,
    ) {
        let (comparison, has_new_items) = match message {
            Message::Members { .. } => (&mut self.member_comparison, has_new_members),
            Message::Terms { .. } => (&mut self.term_comparison, has_new_terms),
            _ => return,
        };
        if has_new_items {
            let interval = if comparison.has_joined {
                self.config.sync_catch_up_interval
            } else {
                self.config.sync_joining_interval
            };
            comparison.next = comparison.next.min(now + interval);
        }
    }

    pub(super) fn answer_members(
        &mut self,
        to: SocketAddr,
        theirs: &BucketDigests,
        step: &mut Step<'_>,
    ) {
        let wanted = self.differing(self.table.buckets(), theirs, step.rng);
        let answers: Vec<(usize, Vec<Update>)> = self
            .table
            .group_by_bucket(&wanted)
            .into_iter()
            .map(|(bucket, records)| (bucket, records.into_iter().map(to_update).collect()))
            .collect();
        for (bucket, updates) in answers {
            if self.member_comparison.try_count_answer(step.now) {
                let message = members_message(bucket, true);
                let updates = fit_datagram(updates, update_length, step.rng);
                self.send_exactly(to, message, updates, Vec::new(), step);
            }
        }
    }

    /// Sends the records that are missing in the peer's bucket.
    pub(super) fn return_members(
        &mut self,
        to: SocketAddr,
        bucket: u8,
        theirs: &[Update],
        step: &mut Step<'_>,
    ) {
        let bucket = usize::from(bucket);
        let known: BTreeMap<NodeId, (Version, Status)> =
            theirs.iter().map(version_and_status).collect();
        let groups = self.table.group_by_bucket(&[bucket]);
        let missing: Vec<Update> = groups
            .into_values()
            .flatten()
            .filter(|record| is_missing(record, &known))
            .map(to_update)
            .collect();
        if !missing.is_empty() {
            let message = members_message(bucket, false);
            let updates = fit_datagram(missing, update_length, step.rng);
            self.send_exactly(to, message, updates, Vec::new(), step);
        }
    }

    pub(super) fn answer_terms(
        &mut self,
        to: SocketAddr,
        theirs: &BucketDigests,
        step: &mut Step<'_>,
    ) {
        let wanted = self.differing(self.terms.buckets(), theirs, step.rng);
        for (bucket, terms) in self.terms.group_by_bucket(&wanted) {
            if self.term_comparison.try_count_answer(step.now) {
                let message = terms_message(bucket, true);
                let terms = fit_datagram(terms, |update| term_length(update), step.rng);
                self.send_exactly(to, message, Vec::new(), terms, step);
            }
        }
    }

    /// Sends the terms that are missing in the peer's bucket.
    pub(super) fn return_terms(
        &mut self,
        to: SocketAddr,
        bucket: u8,
        theirs: &[Arc<TermUpdate>],
        step: &mut Step<'_>,
    ) {
        let bucket = usize::from(bucket);
        let groups = self.terms.group_by_bucket(&[bucket]);
        let missing: Vec<Arc<TermUpdate>> = groups
            .into_values()
            .flatten()
            .filter(|update| {
                let known = theirs.iter().find(|known| known.group == update.group);
                known.is_none_or(|known| known.term < update.term)
            })
            .collect();
        if !missing.is_empty() {
            let message = terms_message(bucket, false);
            let terms = fit_datagram(missing, |update| term_length(update), step.rng);
            self.send_exactly(to, message, Vec::new(), terms, step);
        }
    }

    /// Some of the differing buckets, starting at a random one so that repeated comparisons cover
    /// all.
    fn differing(
        &self,
        ours: &BucketDigests,
        theirs: &BucketDigests,
        rng: &mut dyn Rng,
    ) -> Vec<usize> {
        let start = rng.random_range(0..ours.len());
        (0..ours.len())
            .map(|offset| (start + offset) % ours.len())
            .filter(|bucket| ours[*bucket] != theirs[*bucket])
            .take(self.config.sync_buckets_per_answer)
            .collect()
    }
}

fn members_message(bucket: usize, is_answer: bool) -> Message {
    Message::Members {
        bucket: u8::try_from(bucket).unwrap_or(u8::MAX),
        is_answer,
    }
}

fn terms_message(bucket: usize, is_answer: bool) -> Message {
    Message::Terms {
        bucket: u8::try_from(bucket).unwrap_or(u8::MAX),
        is_answer,
    }
}

/// Converts a record to an update. Suspicions are disseminated separately, so a suspected member is
/// reported as alive.
fn to_update(record: &Record) -> Update {
    let node = record.profile.node;
    let version = record.version;
    match record.status {
        Status::Alive | Status::Suspect => Update::Alive(Arc::clone(&record.profile)),
        Status::Failed => Update::Failed { node, version },
        Status::Left => Update::Left { node, version },
    }
}

fn version_and_status(update: &Update) -> (NodeId, (Version, Status)) {
    match update {
        Update::Alive(profile) => (profile.node, (profile.version, Status::Alive)),
        Update::Suspect { node, version, .. } => (*node, (*version, Status::Suspect)),
        Update::Failed { node, version } => (*node, (*version, Status::Failed)),
        Update::Left { node, version } => (*node, (*version, Status::Left)),
    }
}

/// Whether the peer should receive a record: it does not know a live member, or it has older
/// information on any member.
fn is_missing(record: &Record, known: &BTreeMap<NodeId, (Version, Status)>) -> bool {
    let ours = match record.status {
        Status::Suspect => Status::Alive,
        status => status,
    };
    match known.get(&record.profile.node) {
        Some(theirs) => (record.version, ours) > *theirs,
        None => record.status.is_live(),
    }
}

/// As many items as fit into a datagram, starting at a random one.
fn fit_datagram<T>(mut items: Vec<T>, length: impl Fn(&T) -> usize, rng: &mut dyn Rng) -> Vec<T> {
    if !items.is_empty() {
        let start = rng.random_range(0..items.len());
        items.rotate_left(start);
    }
    let mut room = MAXIMUM_DATAGRAM_BYTES - ENVELOPE_BYTES;
    let fits = |item: &T| {
        let length = length(item);
        let fits = length <= room;
        room = room.saturating_sub(length);
        fits
    };
    let mut fits = fits;
    let count = items.iter().take_while(|item| fits(item)).count();
    items.truncate(count);
    items
}
