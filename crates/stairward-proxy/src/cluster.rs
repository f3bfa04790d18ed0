//! State shared by all parts of a node: its identity, the current settings, members, primaries and
//! ownership.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Instant;

use stairward_settings::{BackendSettings, ResolvedSettings};
use stairward_types::{BackendId, GroupId, Incarnation, NodeId, RegionName, Term, Time, ZoneName};
use tokio::sync::watch;

/// The identity of this process in the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Node ID.
    pub node: NodeId,
    /// Incarnation of the process; a restart increases it.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// A member of the membership view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Node ID.
    pub node: NodeId,
    /// Incarnation of the process; a restart increases it.
    pub incarnation: Incarnation,
    /// Address at which it listens for peers, on TCP and UDP.
    pub peer_address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it announced a planned stop and receives no new ownership.
    pub leaving: bool,
}

/// The nodes believed to be alive, ordered by ID.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// The members, this node included.
    pub members: Vec<Member>,
}

impl MembershipView {
    /// The member with the given ID.
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.node == node)
    }
}

/// The nodes that serve one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owners {
    /// The node that holds most of the connections.
    pub owner: NodeId,
    /// The node that holds a small share and takes over when the owner fails.
    pub standby: Option<NodeId>,
}

/// The newest known primary of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPrimary {
    /// Its term.
    pub term: Term,
    /// The back end that is primary.
    pub backend: BackendId,
}

/// The newest known primaries by group.
pub type KnownPrimaries = BTreeMap<GroupId, KnownPrimary>;

/// Selects the owner and standby of a back end from the members.
pub type OwnershipRule =
    Arc<dyn Fn(&MembershipView, &BackendId, &BackendSettings) -> Option<Owners> + Send + Sync>;

/// The monotonic clock that supplies state machines with the time.
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

    /// The time elapsed since the clock was started.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}

/// A node's view of the cluster, shared by all its parts. Cheap to clone.
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
    /// Creates a view without settings or members.
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

    /// The current settings.
    #[must_use]
    pub fn settings(&self) -> Arc<ResolvedSettings> {
        Arc::clone(&self.settings.borrow())
    }

    /// Subscribes to the current settings.
    #[must_use]
    pub fn watch_settings(&self) -> watch::Receiver<Arc<ResolvedSettings>> {
        self.settings.subscribe()
    }

    /// Applies settings if their revision is higher than the current one. Returns whether they were
    /// applied.
    pub fn apply_settings(&self, settings: ResolvedSettings) -> bool {
        self.settings.send_if_modified(|current| {
            let is_newer = settings.revision > current.revision;
            if is_newer {
                *current = Arc::new(settings);
            }
            is_newer
        })
    }

    /// Until when the current settings are trusted to be the newest in the fleet. After that an
    /// owner admits no new work, because its back ends may have been marked as leaving.
    /// [`Time::NEVER`] when no configuration driver maintains it.
    #[must_use]
    pub fn settings_trusted_until(&self) -> Time {
        Time(self.settings_trusted_until.load(Ordering::Acquire))
    }

    /// Sets until when the settings are trusted to be the newest.
    pub fn set_settings_trusted_until(&self, moment: Time) {
        self.settings_trusted_until
            .store(moment.0, Ordering::Release);
    }

    /// The nodes believed to be alive.
    #[must_use]
    pub fn members(&self) -> Arc<MembershipView> {
        Arc::clone(&self.members.borrow())
    }

    /// Subscribes to the membership view.
    #[must_use]
    pub fn watch_members(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.members.subscribe()
    }

    /// Replaces the membership view.
    pub fn set_members(&self, view: MembershipView) {
        self.members.send_replace(Arc::new(view));
    }

    /// The newest known primary of each group.
    #[must_use]
    pub fn primaries(&self) -> Arc<KnownPrimaries> {
        Arc::clone(&self.primaries.borrow())
    }

    /// Subscribes to the newest known primaries, in order to announce them and to release held
    /// requests.
    #[must_use]
    pub fn watch_primaries(&self) -> watch::Receiver<Arc<KnownPrimaries>> {
        self.primaries.subscribe()
    }

    /// Records a group's primary if its term is newer than the known one. Returns whether it was
    /// recorded.
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

    /// The nodes that serve a back end according to the current view; none when the back end is
    /// unknown or no node is alive.
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
