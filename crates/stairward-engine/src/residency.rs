//! Residency: the regions in which work may be done, for routes and tenants that are bound to some.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use stairward_types::{RegionName, ServiceName, TenantName};

use crate::settings::{Route, RoutingTable};
use crate::tenants::Tenant;

/// The regions in which work may be done.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Residency {
    /// All.
    #[default]
    Anywhere,
    /// These only; none where the set is empty.
    Within(Arc<BTreeSet<RegionName>>),
}

impl Residency {
    /// These regions only; none where there are none.
    #[must_use]
    pub fn within(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self::Within(Arc::new(regions.into_iter().collect()))
    }

    /// Both bind.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, residency) | (residency, Self::Anywhere) => residency.clone(),
            (Self::Within(these), Self::Within(those)) => {
                let common = these.intersection(those).cloned().collect();
                Self::Within(Arc::new(common))
            }
        }
    }

    /// Whether work may be done in a region; one that is not known may be any.
    #[must_use]
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Whether there is no region in which the work may be done.
    #[must_use]
    pub fn excludes_all(&self) -> bool {
        matches!(self, Self::Within(regions) if regions.is_empty())
    }

    /// Whether some region is excluded.
    #[must_use]
    pub const fn is_restricted(&self) -> bool {
        matches!(self, Self::Within(_))
    }
}

impl RoutingTable {
    /// The regions in which a tenant's statements on a route may run.
    pub(crate) fn residency(&self, route: &Route, tenant: Option<&TenantName>) -> Residency {
        let directory = self.tenants.as_ref();
        let tenant = tenant.and_then(|tenant| directory?.residency(tenant));
        match tenant {
            Some(tenant) => route.residency.intersection(tenant),
            None => route.residency.clone(),
        }
    }

    /// The weight of each service's work that may be done in each of these regions: the routes that allow a region,
    /// times the limits of the tenants that do. Empty where nothing is bound to regions.
    #[must_use]
    pub fn allowed_work<'a>(
        &self,
        regions: impl IntoIterator<Item = &'a RegionName>,
    ) -> BTreeMap<ServiceName, BTreeMap<RegionName, u64>> {
        let mut allowed: BTreeMap<ServiceName, BTreeMap<RegionName, u64>> = BTreeMap::new();
        let tenants: Vec<&Tenant> = self
            .tenants
            .iter()
            .flat_map(|directory| directory.tenants())
            .collect();
        let is_bound = self
            .routes
            .values()
            .any(|route| route.residency.is_restricted())
            || tenants
                .iter()
                .any(|tenant| tenant.residency.is_restricted());
        if !is_bound {
            return allowed;
        }
        let regions: BTreeSet<&RegionName> = regions.into_iter().collect();
        for region in regions {
            let tenants = tenants_weight(&tenants, region);
            for route in self.routes.values() {
                let work = allowed.entry(route.service.clone()).or_default();
                let weight = work.entry(region.clone()).or_default();
                if route.residency.allows(Some(region)) {
                    *weight = weight.saturating_add(tenants);
                }
            }
        }
        allowed
    }
}

/// The limits of the tenants that allow a region, together; 1 for a tenant without one. 1 where tenants are not told
/// apart.
fn tenants_weight(tenants: &[&Tenant], region: &RegionName) -> u64 {
    if tenants.is_empty() {
        return 1;
    }
    let allowing = tenants
        .iter()
        .filter(|tenant| tenant.residency.allows(Some(region)));
    let weights = allowing.map(|tenant| {
        let limit = tenant.limit.map(|limit| limit.rate_thousandths / 1_000);
        limit.unwrap_or_default().max(1)
    });
    weights.fold(0, u64::saturating_add)
}
