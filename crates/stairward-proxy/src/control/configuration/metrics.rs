//! Prometheus gauges of the settings' state.

use stairward_membership::configuration::{ConfigurationDisseminator, SourceStatus};
use stairward_types::Time;

/// Sets the gauges. The age is omitted until it is known.
pub(super) fn record(disseminator: &ConfigurationDisseminator, now: Time) {
    metrics::gauge!("stairward_settings_revision").set(disseminator.revision().0 as f64);
    let is_trusted = disseminator.source_status(now) != SourceStatus::CutOff;
    metrics::gauge!("stairward_settings_trusted").set(f64::from(u8::from(is_trusted)));
    if let Some(age) = disseminator.source_age(now) {
        metrics::gauge!("stairward_settings_age_seconds").set(age.as_secs_f64());
    }
}
