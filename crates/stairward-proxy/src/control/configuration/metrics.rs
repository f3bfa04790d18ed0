//! The state of the settings as Prometheus gauges.

use stairward_membership::configuration::{ConfigurationDisseminator, SourceStatus};
use stairward_types::Time;

/// Sets the gauges. The age is left out until the store was heard of.
pub(super) fn record(spreader: &ConfigurationDisseminator, now: Time) {
    metrics::gauge!("stairward_settings_revision").set(spreader.revision().0 as f64);
    let is_trusted = spreader.source_status(now) != SourceStatus::CutOff;
    metrics::gauge!("stairward_settings_trusted").set(f64::from(u8::from(is_trusted)));
    if let Some(age) = spreader.source_age(now) {
        metrics::gauge!("stairward_settings_age_seconds").set(age.as_secs_f64());
    }
}
