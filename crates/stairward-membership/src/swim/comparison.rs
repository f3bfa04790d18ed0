//! Comparing views with a peer, so that all converge even when news was lost or a partition healed.
//!
//! Each packet carries a digest of its sender's view. When a peer's digest has differed for a while,
//! a node sends it one digest per bucket of the hashed key space. The peer answers with its records
//! of some buckets that differ, one datagram per bucket, and the node returns what the peer lacks.

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

/// Room kept for header, message and proof, in bytes.
const ENVELOPE_BYTES: usize = 100;
/// Datagrams one node sends in answer to comparisons per window at most.
const MAXIMUM_ANSWERS: u32 = 256;
/// The window of [`MAXIMUM_ANSWERS`].
const ANSWER_WINDOW: Duration = Duration::from_secs(1);

/// When to compare next, and how much was answered of late.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Comparison {
    /// Since when peers' digests have differed again and again.
    differs_since: Time,
    last_differed: Option<Time>,
    next: Time,
    /// Whether this node has once agreed with a peer since it started.
    pub has_joined: bool,
    window_start: Time,
    answers: u32,
}

impl Comparison {
    /// Takes a peer's digest; says whether to compare with that peer now. News on its way makes
    /// digests differ for a moment. Only when they go on differing is something lost; peers that
    /// agree do not matter, since they may lack the same.
    fn notice(&mut self, agrees: bool, delay: Duration, now: Time) -> bool {
        if agrees {
            return false;
        }
        let is_continued = self
            .last_differed
            .is_some_and(|last| now.since(last) <= delay);
        if !is_continued {
            self.differs_since = now;
        }
        self.last_differed = Some(now);
        let has_waited = !self.has_joined || now.since(self.differs_since) >= delay;
        has_waited && now >= self.next
    }

    /// Whether one more answer may be sent.
    fn may_answer(&mut self, now: Time) -> bool {
        if now.since(self.window_start) >= ANSWER_WINDOW {
            self.window_start = now;
            self.answers = 0;
        }
        self.answers += 1;
        self.answers <= MAXIMUM_ANSWERS
    }
}

impl SwimMember {
    pub(super) fn notice_differences(
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
        if self.member_comparison.notice(agrees, delay, step.now) {
            self.member_comparison.next = step.now + self.comparison_interval(step.rng);
            let digests = Box::new(*self.table.buckets());
            let message = Message::CompareMembers { digests };
            self.send(from, message, Vec::new(), step);
        }
        let agrees = digest.terms == self.terms.digest();
        self.term_comparison.has_joined |= agrees && !is_catching_up;
        if self.term_comparison.notice(agrees, delay, step.now) {
            self.term_comparison.next = step.now + self.comparison_interval(step.rng);
            let digests = Box::new(*self.terms.buckets());
            let message = Message::CompareTerms { digests };
            self.send(from, message, Vec::new(), step);
        }
    }

    fn comparison_interval(&self, rng: &mut dyn Rng) -> Duration {
        self.config.sync_interval.mul_f64(0.5 + rng.random::<f64>())
    }

    /// An answer that brought news makes the next comparison come sooner.
    pub(super) fn after_comparison(
        &mut self,
        message: &Message,
        brought_members: bool,
        brought_terms: bool,
        now: Time,
    ) {
        let (comparison, brought) = match message {
            Message::Members { .. } => (&mut self.member_comparison, brought_members),
            Message::Terms { .. } => (&mut self.term_comparison, brought_terms),
            _ => return,
        };
        if brought {
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
            .map(|(bucket, records)| (bucket, records.into_iter().map(describe).collect()))
            .collect();
        for (bucket, updates) in answers {
            if self.member_comparison.may_answer(step.now) {
                let message = members_message(bucket, true);
                let updates = fitting(updates, update_length, step.rng);
                self.send_exactly(to, message, updates, Vec::new(), step);
            }
        }
    }

    /// Sends what the peer's bucket lacked.
    pub(super) fn return_members(
        &mut self,
        to: SocketAddr,
        bucket: u8,
        theirs: &[Update],
        step: &mut Step<'_>,
    ) {
        let bucket = usize::from(bucket);
        let known: BTreeMap<NodeId, (Version, Status)> = theirs.iter().map(summary).collect();
        let groups = self.table.group_by_bucket(&[bucket]);
        let lacking: Vec<Update> = groups
            .into_values()
            .flatten()
            .filter(|record| is_lacking(record, &known))
            .map(describe)
            .collect();
        if !lacking.is_empty() {
            let message = members_message(bucket, false);
            let updates = fitting(lacking, update_length, step.rng);
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
            if self.term_comparison.may_answer(step.now) {
                let message = terms_message(bucket, true);
                let terms = fitting(terms, |news| term_length(news), step.rng);
                self.send_exactly(to, message, Vec::new(), terms, step);
            }
        }
    }

    /// Sends what the peer's bucket lacked.
    pub(super) fn return_terms(
        &mut self,
        to: SocketAddr,
        bucket: u8,
        theirs: &[Arc<TermUpdate>],
        step: &mut Step<'_>,
    ) {
        let bucket = usize::from(bucket);
        let groups = self.terms.group_by_bucket(&[bucket]);
        let lacking: Vec<Arc<TermUpdate>> = groups
            .into_values()
            .flatten()
            .filter(|news| {
                let known = theirs.iter().find(|known| known.group == news.group);
                known.is_none_or(|known| known.term < news.term)
            })
            .collect();
        if !lacking.is_empty() {
            let message = terms_message(bucket, false);
            let terms = fitting(lacking, |news| term_length(news), step.rng);
            self.send_exactly(to, message, Vec::new(), terms, step);
        }
    }

    /// Some buckets that differ, beginning at a random one so that repeated comparisons reach all.
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

/// A record as news. A suspicion spreads on its own, so a suspected member is told of as alive.
fn describe(record: &Record) -> Update {
    let node = record.profile.node;
    let version = record.version;
    match record.status {
        Status::Alive | Status::Suspect => Update::Alive(Arc::clone(&record.profile)),
        Status::Failed => Update::Failed { node, version },
        Status::Left => Update::Left { node, version },
    }
}

fn summary(update: &Update) -> (NodeId, (Version, Status)) {
    match update {
        Update::Alive(profile) => (profile.node, (profile.version, Status::Alive)),
        Update::Suspect { node, version, .. } => (*node, (*version, Status::Suspect)),
        Update::Failed { node, version } => (*node, (*version, Status::Failed)),
        Update::Left { node, version } => (*node, (*version, Status::Left)),
    }
}

/// Whether a record would tell the peer something: a live member that it does not know, or any it
/// knows less of.
fn is_lacking(record: &Record, known: &BTreeMap<NodeId, (Version, Status)>) -> bool {
    let ours = match record.status {
        Status::Suspect => Status::Alive,
        status => status,
    };
    match known.get(&record.profile.node) {
        Some(theirs) => (record.version, ours) > *theirs,
        None => record.status.is_live(),
    }
}

/// As many items as fit into a datagram, beginning at a random one.
fn fitting<T>(mut items: Vec<T>, length: impl Fn(&T) -> usize, rng: &mut dyn Rng) -> Vec<T> {
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
