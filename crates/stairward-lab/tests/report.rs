//! Reports and comparisons, on results written by hand.

use serde_json::json;
use stairward_lab::compare::compare;
use stairward_lab::report::render;
use stairward_lab::report::source::{ResultView, SourceFile};

fn source(name: &str, result: serde_json::Value) -> SourceFile {
    let result: ResultView = serde_json::from_value(result).expect("a result");
    SourceFile {
        name: name.to_owned(),
        result,
    }
}

#[test]
fn only_parts_with_figures_are_drawn() {
    let spread = json!({"nodes": 100, "spread_s": {"p50": 0.2, "p99": 0.4, "max": 0.6}});
    let page = render(&[source("spread.json", spread)]).expect("a page");
    assert!(page.contains("Spread of configuration against nodes"));
    assert_eq!(page.matches("<svg").count(), 1);
    assert!(!page.contains("Failover gap"));
}

#[test]
fn gaps_of_several_files_make_one_distribution() {
    let gap = |gap: f64| json!({"site": "lintas", "failover_gap_ms": [gap]});
    let files = [source("a.json", gap(300.0)), source("b.json", gap(900.0))];
    let page = render(&files).expect("a page");
    assert_eq!(page.matches("<svg").count(), 1);
    assert!(page.contains("Failover gap distribution"));
}

#[test]
fn text_from_files_is_escaped() {
    let page = render(&[source("<script>.json", json!({}))]).expect("a page");
    assert!(!page.contains("<script>"));
    assert!(page.contains("&lt;script&gt;.json"));
}

#[test]
fn figures_are_paired_by_name_and_missing_ones_shown() {
    let old = json!({"latency_ms": {"p99": 10.0}, "gone": 1, "series": [1, 2]});
    let new = json!({"latency_ms": {"p99": 5.0}, "fresh": 2});
    let rows = compare(&old, &new);
    let names: Vec<&str> = rows.iter().map(|row| row.name.as_str()).collect();
    assert_eq!(names, ["fresh", "gone", "latency_ms.p99"]);
    assert_eq!(rows[2].ratio(), Some(0.5));
    assert_eq!(rows[1].ratio(), None);
}
