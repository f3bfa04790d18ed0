//! Residency: the regions in which the work of routes and tenants may run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use stairward_types::{RegionName, ServiceName, TenantName};

use crate::settings::{Route, RoutingTable};
use crate::tenants::Tenant;

/// The regions in which work may run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Residency {
    /// All regions.
    #[default]
    Anywhere,
    /// Only these regions; an empty set allows none.
    Within(Arc<BTreeSet<RegionName>>),
}

impl Residency {
    /// Allows only these regions; an empty list allows none.
    #[must_use]
    pub fn within(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self::Within(Arc::new(regions.into_iter().collect()))
    }

    /// The regions that both allow.
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

    /// Whether work may run in a region. An unknown region is allowed only if all are.
    #[must_use]
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Whether no region is allowed.
    #[must_use]
    pub fn excludes_all(&self) -> bool {
        matches!(self, Self::Within(regions) if regions.is_empty())
    }

    /// Whether the allowed regions are restricted.
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

    /// The weight of each service's work in each of these regions: the number of routes that allow the region
    /// times the limits of the tenants that do. Empty if nothing is restricted to regions.
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

/// The sum of the limits of the tenants that allow a region, at least 1 per tenant; 1 if tenants are not
/// distinguished.
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
