//! Metrics: names, text of a scrape, and the endpoint.

use sorreldoor::balancer::Counts;
use sorreldoor::metrics::{
    encode, CoreFigures, EdgeFigures, Kind, Metric, MetricsEndpoint, CORE_METRICS, EDGE_METRICS,
};
use sorreldoor::settings::{Overrides, Role, Settings};
use std::collections::BTreeSet;
use std::path::Path;

/// Prometheus' conventions: unique names in lower case, without the suffix that the
/// format adds, and a help text.
fn assert_conventions<F>(table: &[Metric<F>]) {
    let names: BTreeSet<&str> = table.iter().map(|metric| metric.name).collect();
    assert_eq!(names.len(), table.len(), "names are unique");
    for metric in table {
        let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
        assert!(metric.name.chars().all(valid), "{}", metric.name);
        assert!(!metric.name.ends_with("_total"), "{}", metric.name);
        assert!(metric.help.ends_with('.'), "{}", metric.help);
    }
}

#[test]
fn metric_names_follow_prometheus_conventions() {
    assert_conventions(CORE_METRICS);
    assert_conventions(EDGE_METRICS);
}

#[test]
fn a_scrape_has_each_metric_with_its_value() {
    let figures = EdgeFigures {
        ready: true,
        lease_valid: true,
        configuration_version: 138,
        ready_edges: 93,
        counts: Counts {
            begun: 7,
            rejected: 2,
            ..Counts::default()
        },
    };
    let text = encode(EDGE_METRICS, figures);
    for line in [
        "# TYPE sorreldoor_requests counter",
        "sorreldoor_requests_total 7",
        "sorreldoor_rejections_total 2",
        "# TYPE sorreldoor_ready gauge",
        "sorreldoor_ready 1",
        "sorreldoor_lease_valid 1",
        "sorreldoor_configuration_version 138",
        "sorreldoor_ready_edges 93",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in {text}");
    }
    assert!(text.ends_with("# EOF\n"), "{text}");
}

/// Labels could expose content of requests.
#[test]
fn no_metric_has_a_label() {
    let core = encode(CORE_METRICS, CoreFigures::default());
    let edge = encode(EDGE_METRICS, EdgeFigures::default());
    for line in core.lines().chain(edge.lines()) {
        assert!(line.starts_with('#') || !line.contains('{'), "{line}");
    }
}

#[test]
fn every_core_metric_is_exposed_under_its_name() {
    let text = encode(CORE_METRICS, CoreFigures::default());
    for metric in CORE_METRICS {
        let start = format!("{} ", metric.exposed_name());
        assert!(text.lines().any(|line| line.starts_with(&start)), "{start}");
    }
    assert!(EDGE_METRICS.iter().any(|m| m.kind == Kind::Counter));
}

#[test]
fn an_endpoint_is_parsed_from_port_and_path() {
    let endpoint: MetricsEndpoint = "9464/metrics".parse().expect("valid");
    assert_eq!((endpoint.port, endpoint.path.as_str()), (9464, "/metrics"));
    let nested: MetricsEndpoint = "80/a/b".parse().expect("valid");
    assert_eq!(nested.path, "/a/b");
    for text in [
        "",
        "9464",
        "9464/",
        "/metrics",
        "0/metrics",
        "70000/m",
        "9464/a?b",
        "x/m",
    ] {
        let error = text.parse::<MetricsEndpoint>().expect_err(text);
        assert!(error.to_string().contains("PORT/PATH"), "{error}");
    }
}

#[test]
fn the_metrics_setting_is_validated() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/press-edge.json");
    let text = std::fs::read_to_string(path).expect("an example");
    let parse = |metrics: &str| {
        let start = format!(r#"{{"metrics": {metrics},"#);
        let text = text.replacen('{', &start, 1);
        Settings::parse(text.as_bytes(), &Overrides::default(), Role::Edge)
    };
    let settings = parse(r#""9464/metrics""#).expect("valid settings");
    assert_eq!(settings.metrics.map(|endpoint| endpoint.port), Some(9464));
    let faults = parse(r#""metrics""#).expect_err("no port");
    assert!(faults[0].starts_with("metrics: "), "{faults:?}");
}
