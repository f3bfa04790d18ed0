//! One-way delays between the places of a site.

use std::time::Duration;

use super::Site;

/// Gives the one-way delay between any two places of a site.
#[derive(Debug, Clone, Copy)]
pub struct LatencyMap<'site> {
    site: &'site Site,
}

impl<'site> LatencyMap<'site> {
    pub(super) const fn new(site: &'site Site) -> Self {
        Self { site }
    }

    /// The one-way delay between two places, by their position in the site's list; zero within a
    /// place.
    #[must_use]
    pub fn between(&self, from: usize, to: usize) -> Duration {
        let (from, to) = (&self.site.places[from], &self.site.places[to]);
        if from.zone == to.zone {
            return Duration::ZERO;
        }
        let latency = &self.site.latency;
        if from.region == to.region {
            milliseconds(latency.between_zones_ms)
        } else {
            milliseconds(latency.between_regions_ms)
        }
    }

    /// The one-way delay between a caller and its proxy.
    #[must_use]
    pub fn to_clients(&self) -> Duration {
        milliseconds(self.site.latency.to_clients_ms)
    }
}

fn milliseconds(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1000.0)
}
