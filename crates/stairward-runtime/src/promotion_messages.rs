//! Exchange of known promotions between nodes: the store may lose a promotion's record.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use stairward_failover::{Event, KnownPromotion, RecordedPromotion};
use stairward_protocol::Text;
use stairward_protocol::node_message::{NodeMessage, PromotionMessage};
use stairward_types::{BackendId, NodeId, ServiceName, Term};

use crate::node::Node;
use crate::peer_link::{connect, frame};
use crate::traffic::OpeningKind;
use crate::wire::Wire;

/// Timeout for a peer's answer. The failover state machine waits for a shorter time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

impl<W: Wire> Node<W> {
    /// Tells the given nodes of a promotion that this node has requested, or of its answer.
    pub(crate) fn announce_promotion(
        &self,
        service: &ServiceName,
        promotion: &RecordedPromotion,
        users: BTreeSet<NodeId>,
    ) {
        let message = encode_promotion(&KnownPromotion {
            service: service.clone(),
            announced: Term::default(),
            promotion: Some(promotion.clone()),
        });
        // A node that misses the message has the store's record, and peers that know.
        self.send_once(users, &NodeMessage::AnnouncePromotion(message));
    }

    /// Applies the announcement of another node; ignores a malformed one.
    pub(crate) fn handle_announced_promotion(self: &Rc<Self>, message: &PromotionMessage) {
        if let Some(KnownPromotion {
            service,
            promotion: Some(promotion),
            ..
        }) = decode_promotion(message)
        {
            self.handle_failover_event(Event::PromotionAnnounced(service, promotion));
        }
    }

    /// Asks peers which promotions they know of.
    pub(crate) fn query_promotions(self: &Rc<Self>, peers: BTreeSet<NodeId>) {
        for peer in peers {
            let node = Rc::clone(self);
            tokio::task::spawn_local(async move {
                let known = tokio::time::timeout(ANSWER_TIMEOUT, node.request_promotions(peer));
                let known = known.await.ok().flatten();
                node.handle_failover_event(Event::PeerPromotions(peer, known));
            });
        }
    }

    async fn request_promotions(&self, peer: NodeId) -> Option<Vec<KnownPromotion>> {
        let address = {
            let members = self.members.borrow();
            let member = members.iter().find(|member| member.node == peer);
            member.map(|member| member.address)
        }?;
        self.traffic.opened(OpeningKind::OneShot);
        let (mut reader, outgoing) = connect(address).await?;
        outgoing.send(&frame(&NodeMessage::QueryPromotions)).ok()?;
        match reader.next().await? {
            NodeMessage::Promotions { promotions, .. } => {
                Some(promotions.iter().filter_map(decode_promotion).collect())
            }
            _ => None,
        }
    }

    /// What this node tells a peer that has asked.
    pub(crate) fn promotions_reply(&self) -> NodeMessage {
        let (failover, engine) = (self.failover.borrow(), self.engine.borrow());
        let known = KnownPromotion::merge(failover.known_promotions(), engine.announced_terms());
        let promotions: Vec<_> = known
            .iter()
            .take(usize::from(u16::MAX))
            .map(encode_promotion)
            .collect();
        NodeMessage::Promotions {
            count: u16::try_from(promotions.len()).unwrap_or(u16::MAX),
            promotions,
        }
    }
}

fn encode_promotion(known: &KnownPromotion) -> PromotionMessage {
    let promotion = known.promotion.as_ref();
    let leader = promotion.map_or("", |promotion| promotion.leader.as_str());
    PromotionMessage {
        service: Text::new(known.service.as_str()),
        announced: known.announced.0,
        leader: Text::new(leader),
        term: promotion.map_or(0, |promotion| promotion.term.0),
        is_pending: u8::from(promotion.is_some_and(|promotion| promotion.is_pending)),
    }
}

/// The content of a message; none if it is malformed.
fn decode_promotion(message: &PromotionMessage) -> Option<KnownPromotion> {
    let service = ServiceName::new(message.service.as_str()).ok()?;
    let leader = BackendId::new(message.leader.as_str()).ok();
    let promotion = leader.map(|leader| RecordedPromotion {
        leader,
        term: Term(message.term),
        is_pending: message.is_pending != 0,
    });
    Some(KnownPromotion {
        service,
        announced: Term(message.announced),
        promotion,
    })
}
