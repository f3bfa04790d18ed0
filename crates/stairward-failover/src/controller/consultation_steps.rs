//! Exchanges knowledge of promotions with other nodes; see [`crate::consultation`].

use stairward_types::{NodeId, ServiceName, Term, Time};

use super::FailoverController;
use crate::event::{Effect, KnownPromotion, RecordedPromotion};

/// Fraction of the leadership lease that peers are given to answer.
const ANSWER_TIMEOUT_DIVISOR: u32 = 2;

impl FailoverController {
    /// Detects that this node did not run for so long that it may have missed the announcement of a
    /// promotion and its repetitions.
    pub(super) fn detect_pause(&mut self, now: Time) {
        if let Some(lease) = self.options.leadership_lease
            && self.consultation.detect_pause(now, lease)
        {
            self.effects.push(Effect::ConsultationNeeded);
            self.begin_consultation(now);
        }
    }

    /// Asks the peers which promotions they know of, if that is due.
    pub(super) fn begin_consultation(&mut self, now: Time) {
        if self.options.leadership_lease.is_none() {
            return;
        }
        if let Some(peers) = self.consultation.begin(now, &self.relay_peers)
            && !peers.is_empty()
        {
            self.effects.push(Effect::ConsultationNeeded);
            self.effects.push(Effect::QueryPromotions(peers));
        }
    }

    /// Applies what a peer knows.
    pub(super) fn apply_peer_promotions(
        &mut self,
        peer: NodeId,
        known: Option<Vec<KnownPromotion>>,
    ) {
        self.consultation.answered(peer);
        for known in known.unwrap_or_default() {
            if let Some(promotion) = known.promotion {
                self.apply_announced_promotion(&known.service, promotion);
            }
            if known.announced > Term::default() {
                self.effects
                    .push(Effect::TermAnnounced(known.service, known.announced));
            }
        }
    }

    /// Applies a promotion that another node has requested.
    pub(super) fn apply_announced_promotion(
        &mut self,
        service: &ServiceName,
        promotion: RecordedPromotion,
    ) {
        if self.records.note_announced_promotion(service, promotion)
            && let Some(newest) = self.records.promotion(service)
        {
            self.effects
                .push(Effect::PromotionRecorded(service.clone(), newest.clone()));
        }
    }

    /// Ends the consultation once the peers have answered or had the time to.
    pub(super) fn review_consultation(&mut self, now: Time) {
        let Some(lease) = self.options.leadership_lease else {
            return;
        };
        let timeout = lease / ANSWER_TIMEOUT_DIVISOR;
        if let Some(unanswered) = self.consultation.finish_if_over(now, timeout) {
            self.effects.push(Effect::PeersConsulted { unanswered });
        }
    }

    /// What this node can tell a peer of the promotions of all services.
    pub fn known_promotions(&self) -> impl Iterator<Item = (&ServiceName, &RecordedPromotion)> {
        self.records.promotions()
    }
}
