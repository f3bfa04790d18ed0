//! Tenants: identification of clients by API key, and the identity that a session keeps.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use stairward_limits::RateLimit;
use stairward_types::{ApiKey, ResultCode, TenantName};

use crate::residency::Residency;
use crate::settings::{Route, RoutingTable};

/// A tenant of the current configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, as reported to back ends.
    pub name: TenantName,
    /// Its keys. A tenant without keys has no clients.
    pub keys: Vec<ApiKey>,
    /// The limit on its operations over all nodes; none if unlimited.
    pub limit: Option<RateLimit>,
    /// Where its statements may run.
    pub residency: Residency,
}

/// The tenants of one configuration, by key and by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TenantDirectory {
    by_key: HashMap<ApiKey, Arc<Tenant>>,
    by_name: BTreeMap<TenantName, Arc<Tenant>>,
}

impl TenantDirectory {
    /// Creates a directory of these tenants. An empty key, or one claimed by two tenants, identifies neither.
    /// Of two tenants with the same name the last one counts.
    #[must_use]
    pub fn new(tenants: impl IntoIterator<Item = Tenant>) -> Self {
        let named = tenants
            .into_iter()
            .map(|tenant| (tenant.name.clone(), Arc::new(tenant)));
        let by_name: BTreeMap<TenantName, Arc<Tenant>> = named.collect();
        let mut by_key: HashMap<ApiKey, Arc<Tenant>> = HashMap::new();
        let mut ambiguous = BTreeSet::new();
        for tenant in by_name.values() {
            for key in tenant.keys.iter().filter(|key| !key.is_empty()) {
                let earlier = by_key.insert(key.clone(), Arc::clone(tenant));
                if earlier.is_some_and(|earlier| earlier.name != tenant.name) {
                    ambiguous.insert(tenant.name.clone());
                }
            }
        }
        if !ambiguous.is_empty() {
            drop_ambiguous(&mut by_key, &by_name);
        }
        Self { by_key, by_name }
    }

    /// The tenant that a key identifies.
    #[must_use]
    pub fn tenant_by_key(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// The tenant of this name, if at least one of its keys identifies a tenant.
    #[must_use]
    pub fn active_tenant(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        let tenant = self.by_name.get(name)?;
        let has_key = tenant.keys.iter().any(|key| self.by_key.contains_key(key));
        has_key.then_some(tenant)
    }

    /// Where a tenant's statements may run; none if the tenant is unknown.
    pub(crate) fn residency(&self, name: &TenantName) -> Option<&Residency> {
        self.by_name.get(name).map(|tenant| &tenant.residency)
    }

    /// All tenants.
    pub(crate) fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.by_name.values().map(AsRef::as_ref)
    }

    /// The limits of all tenants that have one.
    pub(crate) fn limits(&self) -> BTreeMap<TenantName, RateLimit> {
        let limited = self.by_name.iter();
        limited
            .filter_map(|(name, tenant)| Some((name.clone(), tenant.limit?)))
            .collect()
    }

    /// The number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// Removes each key that more than one tenant claims.
fn drop_ambiguous(
    by_key: &mut HashMap<ApiKey, Arc<Tenant>>,
    by_name: &BTreeMap<TenantName, Arc<Tenant>>,
) {
    let claims = |tenant: &Tenant, key: &ApiKey| tenant.keys.contains(key);
    by_key.retain(|key, _| {
        by_name
            .values()
            .filter(|tenant| claims(tenant, key))
            .count()
            == 1
    });
}

/// A client's identity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Identity {
    /// No tenant: the route is public, or tenants are not distinguished.
    Anonymous,
    /// A tenant identified by a key that this node verified.
    Authenticated(ApiKey, TenantName),
    /// A tenant verified by another node.
    VerifiedByPeer(TenantName),
}

impl Identity {
    /// The tenant reported to back ends.
    pub fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Anonymous => None,
            Self::Authenticated(_, name) | Self::VerifiedByPeer(name) => Some(name),
        }
    }

    /// Whether a configuration allows this identity on a route.
    pub fn is_allowed(&self, table: &RoutingTable, route: &Route) -> bool {
        let Some(tenants) = &table.tenants else {
            return true;
        };
        match self {
            Self::Anonymous => route.is_public,
            Self::Authenticated(key, name) => tenants
                .tenant_by_key(key)
                .is_some_and(|tenant| tenant.name == *name),
            Self::VerifiedByPeer(name) => tenants.active_tenant(name).is_some(),
        }
    }
}

/// Identifies a client with this key on a route.
///
/// # Errors
///
/// [`ResultCode::NotAuthenticated`] if the key is missing or unknown.
pub(crate) fn identify(
    table: &RoutingTable,
    route: &Route,
    key: Option<ApiKey>,
) -> Result<Identity, ResultCode> {
    let Some(tenants) = table.tenants.as_ref().filter(|_| !route.is_public) else {
        return Ok(Identity::Anonymous);
    };
    let key = key.ok_or(ResultCode::NotAuthenticated)?;
    let tenant = tenants
        .tenant_by_key(&key)
        .ok_or(ResultCode::NotAuthenticated)?;
    let name = tenant.name.clone();
    Ok(Identity::Authenticated(key, name))
}
