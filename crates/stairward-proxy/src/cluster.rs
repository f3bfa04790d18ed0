//! What a node's parts share: who they are, which settings are in force, and who owns what.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Instant;

use stairward_settings::{BackendSettings, ResolvedSettings};
use stairward_types::{BackendId, GroupId, Incarnation, NodeId, RegionName, Term, Time, ZoneName};
use tokio::sync::watch;

/// This process's place in the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its number.
    pub node: NodeId,
    /// Which life of the process this is.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// One node as the membership view sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its number.
    pub node: NodeId,
    /// Which life of the process.
    pub incarnation: Incarnation,
    /// Where it listens for its peers, on TCP and on UDP.
    pub peer_address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it has announced a planned stop: it gets no new ownership.
    pub leaving: bool,
}

/// The nodes believed alive, ordered by number.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// The members, this node included.
    pub members: Vec<Member>,
}

impl MembershipView {
    /// The member with this number.
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.node == node)
    }
}

/// The nodes that serve one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owners {
    /// Holds most of the connections.
    pub owner: NodeId,
    /// Holds a small share, and takes over when the owner is lost.
    pub standby: Option<NodeId>,
}

/// The newest primary known of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPrimary {
    /// Its term.
    pub term: Term,
    /// Which back end it is.
    pub backend: BackendId,
}

/// The newest primaries known, by group.
pub type KnownPrimaries = BTreeMap<GroupId, KnownPrimary>;

/// Ranks the members for a back end: first the owner, then the standby.
pub type OwnershipRule =
    Arc<dyn Fn(&MembershipView, &BackendId, &BackendSettings) -> Option<Owners> + Send + Sync>;

/// A monotonic clock for the decision code.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}

/// What is known of the cluster, shared by all parts of a node. Cheap to clone.
#[derive(Clone)]
pub struct Cluster {
    /// This node.
    pub identity: Arc<Identity>,
    /// This node's clock.
    pub clock: Clock,
    settings: Arc<watch::Sender<Arc<ResolvedSettings>>>,
    members: Arc<watch::Sender<Arc<MembershipView>>>,
    primaries: Arc<watch::Sender<Arc<KnownPrimaries>>>,
    ownership: Arc<RwLock<OwnershipRule>>,
    settings_trusted_until: Arc<AtomicU64>,
}

impl Cluster {
    /// Starts with no settings and no members.
    #[must_use]
    pub fn new(identity: Identity, ownership: OwnershipRule) -> Self {
        Self {
            identity: Arc::new(identity),
            clock: Clock::start(),
            settings: Arc::new(watch::Sender::new(Arc::default())),
            members: Arc::new(watch::Sender::new(Arc::default())),
            primaries: Arc::new(watch::Sender::new(Arc::default())),
            ownership: Arc::new(RwLock::new(ownership)),
            settings_trusted_until: Arc::new(AtomicU64::new(Time::NEVER.0)),
        }
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<ResolvedSettings> {
        Arc::clone(&self.settings.borrow())
    }

    /// Follows the settings in force.
    #[must_use]
    pub fn watch_settings(&self) -> watch::Receiver<Arc<ResolvedSettings>> {
        self.settings.subscribe()
    }

    /// Puts newer settings in force. Returns false, changing nothing, unless the revision is higher
    /// than the one in force.
    pub fn apply_settings(&self, newer: ResolvedSettings) -> bool {
        self.settings.send_if_modified(|current| {
            let is_newer = newer.revision > current.revision;
            if is_newer {
                *current = Arc::new(newer);
            }
            is_newer
        })
    }

    /// Until when the settings in force may be taken for the newest of the fleet. After that an
    /// owner gives its back ends no new work: they may have been marked as leaving.
    /// [`Time::NEVER`] when nothing watches over the settings.
    #[must_use]
    pub fn settings_trusted_until(&self) -> Time {
        Time(self.settings_trusted_until.load(Ordering::Acquire))
    }

    /// Sets until when the settings may be taken for the newest.
    pub fn set_settings_trusted_until(&self, moment: Time) {
        self.settings_trusted_until
            .store(moment.0, Ordering::Release);
    }

    /// The nodes believed alive.
    #[must_use]
    pub fn members(&self) -> Arc<MembershipView> {
        Arc::clone(&self.members.borrow())
    }

    /// Follows the nodes believed alive.
    #[must_use]
    pub fn watch_members(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.members.subscribe()
    }

    /// Replaces the view of the nodes believed alive.
    pub fn set_members(&self, view: MembershipView) {
        self.members.send_replace(Arc::new(view));
    }

    /// The newest primary known of each group.
    #[must_use]
    pub fn primaries(&self) -> Arc<KnownPrimaries> {
        Arc::clone(&self.primaries.borrow())
    }

    /// Follows the newest primaries known, to spread them and to release held requests.
    #[must_use]
    pub fn watch_primaries(&self) -> watch::Receiver<Arc<KnownPrimaries>> {
        self.primaries.subscribe()
    }

    /// Learns of a group's primary. Returns false, changing nothing, unless its term is newer than
    /// the one known.
    pub fn learn_primary(&self, group: &GroupId, newer: KnownPrimary) -> bool {
        self.primaries.send_if_modified(|known| {
            let is_newer = known
                .get(group)
                .is_none_or(|current| newer.term > current.term);
            if is_newer {
                Arc::make_mut(known).insert(group.clone(), newer);
            }
            is_newer
        })
    }

    /// The nodes that serve a back end by the present view; none when the back end is unknown or no
    /// node is alive.
    #[must_use]
    pub fn owners(&self, backend: &BackendId) -> Option<Owners> {
        let settings = self.settings();
        let (_, backend_settings) = settings.backend(backend)?;
        let rule = self
            .ownership
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        rule(&self.members(), backend, backend_settings)
    }
}
