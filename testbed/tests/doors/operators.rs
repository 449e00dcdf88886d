//! The operators' client against real daemons.

use super::*;

pub(super) fn operators(fleet: &Fleet) {
    let edge = fleet.edges()[1];
    let (code, text) = fleet.ctl(edge, &["get"]);
    assert!(
        code == 0 && text.starts_with("version 1\n"),
        "{code} {text}"
    );
    let patch = fleet.root.join("patch.json");
    std::fs::write(&patch, r#"{"retry":{"percent":12}}"#).unwrap();
    let file = patch.display().to_string();
    let (code, text) = fleet.ctl(edge, &["edit", &file]);
    assert!(code == 2 && text.contains("--base"), "{code} {text}");
    let (code, text) = fleet.ctl(edge, &["edit", &file, "--base", "7"]);
    assert!(
        code == 1 && text.contains("the current version is 1"),
        "{text}"
    );
    let (code, text) = fleet.ctl(edge, &["edit", &file, "--base", "1", "--id", "c0ffee"]);
    assert_eq!((code, &text[..]), (0, "accepted as version 2\n"));
    // a retry under the same id gets the first answer, also at another node
    let core = fleet.cores()[1];
    let (code, text) = fleet.ctl(core, &["edit", &file, "--base", "1", "--id", "c0ffee"]);
    assert_eq!((code, &text[..]), (0, "accepted as version 2\n"));
    let (code, text) = fleet.ctl(edge, &["ask", "c0ffee"]);
    assert_eq!((code, &text[..]), (0, "accepted as version 2\n"));
    for i in 0..fleet.nodes.len() {
        let (status, document) = fleet.get(i, "/v1/setup").unwrap();
        let percent = document
            .get("setup")
            .and_then(|setup| setup.get("retry"))
            .and_then(|retry| retry.get("percent"));
        assert_eq!((status, percent.and_then(|p| p.as_u64())), (200, Some(12)));
    }
    std::fs::write(&patch, configuration(&fleet.preset)).unwrap();
    let (code, text) = fleet.ctl(edge, &["diff", &file]);
    assert_eq!(
        (code, &text[..]),
        (0, "- retry.percent: 12\n+ retry.percent: 15\n")
    );
    std::fs::write(&patch, r#"{"groups":{},"services":{}}"#).unwrap();
    let (code, text) = fleet.ctl(edge, &["check", &file]);
    assert!(code == 1 && text.contains("routes: is missing"), "{text}");
    let (code, text) = fleet.ctl(
        edge,
        &[
            "placement",
            "--route",
            "verdict",
            "--key",
            "k7",
            "--region",
            "north",
        ],
    );
    assert!(
        code == 0 && text.contains("worker: north-gpu0 in n1 (north)"),
        "{code} {text}"
    );
    assert!(text.contains("highest-ranked"), "{text}");
    let (code, text) = fleet.ctl(edge, &["placement", "--route", "nowhere"]);
    assert!(code == 1 && text.contains("unknown-route"), "{code} {text}");
    let (code, text) = fleet.ctl(core, &["evacuate", "s1", "--base", "2", "--wait", "30"]);
    assert_eq!(code, 0, "{text}");
    assert!(
        text.starts_with("accepted as version 3\n") && text.ends_with("zone s1 is empty\n"),
        "{text}"
    );
    // the evacuated region's traffic moves to the other; the status shows why
    assert!(fleet.until(WAIT_LIMIT, |fleet| {
        let (code, text) = fleet.ctl(fleet.edges()[0], &["status"]);
        code == 0 && text.contains("s1    true")
    }));
    let (code, text) = fleet.ctl(core, &["return", "s1", "--base", "3", "--json"]);
    assert!(code == 0 && text.contains("\"serial\":4"), "{text}");
    let (code, text) = fleet.ctl(core, &["status"]);
    assert!(code == 0 && text.contains("workers (3)"), "{text}");
}
