//! The parts of the report, each from the results that hold its figures.

use std::collections::BTreeMap;

use super::chart::{Chart, Mark, Series};
use super::page::Section;
use super::source::{ResultView, SourceFile};

/// Milliseconds in a second.
const MILLISECONDS: f64 = 1000.0;

/// Every part for which there are results.
#[must_use]
pub fn all(files: &[SourceFile]) -> Vec<Section> {
    [
        latency_over_time(files),
        replica_share_against_lag(files),
        failover_gaps(files),
        spread_against_nodes(files),
        control_cost_against_nodes(files),
    ]
    .into_iter()
    .filter(|section| !section.charts.is_empty())
    .collect()
}

fn latency_over_time(files: &[SourceFile]) -> Section {
    Section {
        title: "Latency over time".to_owned(),
        text:
            "Of requests answered, from the moment each was due, in slices of 100 ms. Grey lines \
               mark faults and operators' steps."
                .to_owned(),
        charts: files.iter().filter_map(latency_chart).collect(),
    }
}

fn latency_chart(file: &SourceFile) -> Option<Chart> {
    let load = file.result.load.as_ref()?;
    let line = |name: &str, value: fn(&crate::load::figures::Slice) -> f64| Series {
        name: name.to_owned(),
        points: load
            .series
            .iter()
            .filter(|slice| slice.count > slice.failed)
            .map(|slice| (slice.at_ms as f64 / MILLISECONDS, value(slice)))
            .collect(),
    };
    let marks = file.result.faults.iter().map(|fault| Mark {
        at: fault.at_ms / MILLISECONDS,
        text: fault.what.clone(),
    });
    Some(Chart {
        title: format!("{} ({})", file.result.site.as_deref()?, file.name),
        horizontal: "time (s)".to_owned(),
        vertical: "latency (ms)".to_owned(),
        series: vec![
            line("p50", |slice| slice.p50),
            line("p99", |slice| slice.p99),
        ],
        marks: marks.collect(),
    })
}

fn replica_share_against_lag(files: &[SourceFile]) -> Section {
    let point = |result: &ResultView| Some((result.replica_lag_ms?, result.replica_read_share?));
    Section {
        title: "Replica read share against lag".to_owned(),
        text: "Share of answered reads that replicas answered, by the back ends' own record."
            .to_owned(),
        charts: by_site(files, point)
            .map(|series| Chart {
                title: "Replica read share".to_owned(),
                horizontal: "replica lag (ms)".to_owned(),
                vertical: "share of reads".to_owned(),
                series,
                marks: Vec::new(),
            })
            .into_iter()
            .collect(),
    }
}

fn by_site(
    files: &[SourceFile],
    point: impl Fn(&ResultView) -> Option<(f64, f64)>,
) -> Option<Vec<Series>> {
    let mut sites: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for file in files {
        let Some(point) = point(&file.result) else {
            continue;
        };
        let site = file.result.site.as_deref().unwrap_or("all");
        sites.entry(site).or_default().push(point);
    }
    let series = sites.into_iter().map(|(site, points)| Series {
        name: site.to_owned(),
        points: sorted(points),
    });
    let series: Vec<Series> = series.collect();
    (!series.is_empty()).then_some(series)
}

fn failover_gaps(files: &[SourceFile]) -> Section {
    let mut sites: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for file in files
        .iter()
        .filter(|file| !file.result.failover_gap_ms.is_empty())
    {
        let site = file.result.site.as_deref().unwrap_or("all");
        sites
            .entry(site)
            .or_default()
            .extend(&file.result.failover_gap_ms);
    }
    let series: Vec<Series> = sites
        .into_iter()
        .map(|(site, gaps)| distribution(site, gaps))
        .collect();
    let chart = (!series.is_empty()).then(|| Chart {
        title: "Failover gap".to_owned(),
        horizontal: "gap (ms)".to_owned(),
        vertical: "share of failovers".to_owned(),
        series,
        marks: Vec::new(),
    });
    Section {
        title: "Failover gap distribution".to_owned(),
        text: "Share of failovers whose gap was at most so long: from the first write that could \
               not complete to the first that did."
            .to_owned(),
        charts: chart.into_iter().collect(),
    }
}

/// The cumulative distribution of some values.
fn distribution(name: &str, mut values: Vec<f64>) -> Series {
    values.sort_by(f64::total_cmp);
    let count = values.len() as f64;
    let points = values
        .into_iter()
        .enumerate()
        .map(|(position, value)| (value, (position + 1) as f64 / count))
        .collect();
    Series {
        name: name.to_owned(),
        points,
    }
}

fn spread_against_nodes(files: &[SourceFile]) -> Section {
    let line = |name: &str, value: fn(&super::source::Percentiles) -> f64| {
        let points = files.iter().filter_map(|file| {
            let spread = file.result.spread_s.as_ref()?;
            Some((file.result.nodes?, value(spread)))
        });
        Series {
            name: name.to_owned(),
            points: sorted(points.collect()),
        }
    };
    let series = vec![
        line("p50", |spread| spread.p50),
        line("p99", |spread| spread.p99),
        line("max", |spread| spread.max),
    ];
    let chart = (!series[0].points.is_empty()).then(|| Chart {
        title: "Spread of configuration".to_owned(),
        horizontal: "nodes".to_owned(),
        vertical: "time (s)".to_owned(),
        series,
        marks: Vec::new(),
    });
    Section {
        title: "Spread of configuration against nodes".to_owned(),
        text: "From an accepted edit until it was in force on a node.".to_owned(),
        charts: chart.into_iter().collect(),
    }
}

fn control_cost_against_nodes(files: &[SourceFile]) -> Section {
    let mut commands: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for file in files {
        let (Some(nodes), Some(bytes)) = (file.result.nodes, file.result.bytes_per_node_per_second)
        else {
            continue;
        };
        let command = subcommand(&file.result);
        commands.entry(command).or_default().push((nodes, bytes));
    }
    let series: Vec<Series> = commands
        .into_iter()
        .map(|(name, points)| Series {
            name,
            points: sorted(points),
        })
        .collect();
    let chart = (!series.is_empty()).then(|| Chart {
        title: "Control traffic".to_owned(),
        horizontal: "nodes".to_owned(),
        vertical: "bytes a second and node".to_owned(),
        series,
        marks: Vec::new(),
    });
    Section {
        title: "Control cost against nodes".to_owned(),
        text: "Bytes that one node sends for control.".to_owned(),
        charts: chart.into_iter().collect(),
    }
}

fn subcommand(result: &ResultView) -> String {
    result
        .provenance
        .as_ref()
        .and_then(|provenance| provenance.command.split_whitespace().nth(1))
        .unwrap_or("control")
        .to_owned()
}

fn sorted(mut points: Vec<(f64, f64)>) -> Vec<(f64, f64)> {
    points.sort_by(|left, right| left.0.total_cmp(&right.0));
    points
}
