//! The doctor command on a fleet with injected faults.

use std::process::Command;
use std::time::Duration;
use testbed::fleet::{configuration, press, Fleet, SitePreset};

const TIMEOUT: Duration = Duration::from_secs(40);

fn small_preset() -> SitePreset {
    SitePreset {
        regions: vec![("north", vec!["n1", "n2"], 2), ("south", vec!["s1"], 1)],
        web_workers: 1,
        edges_per_zone: 1,
        ..press()
    }
}

fn doctor(f: &Fleet, file: &std::path::Path) -> (i32, String) {
    let out = Command::new(&f.binary)
        .args(["doctor", "--settings"])
        .arg(file)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    (out.status.code().unwrap_or(-1), text)
}

/// Asserts that the doctor prints each of these texts in time, with this exit code.
fn assert_finds(f: &Fleet, at: usize, findings: &[&str], code: i32) {
    let file = f.nodes[at].file.clone();
    let ok = f.until(TIMEOUT, |f| {
        let (c, text) = doctor(f, &file);
        c == code && findings.iter().all(|n| text.contains(n))
    });
    let (c, text) = doctor(f, &file);
    assert!(
        ok,
        "expected {findings:?} and exit code {code}, got exit code {c}:\n{text}"
    );
}

#[test]
fn the_doctor_reports_each_injected_fault() {
    let d = std::env::temp_dir().join(format!("sorreldoor-doctor-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    let mut f = Fleet::start(&d, small_preset());
    f.wait_until_bootstrapped();
    let edge = f.edges()[0];
    assert_finds(&f, edge, &["D15 broken no configuration"], 2);
    let file = f.root.join("setup.json");
    std::fs::write(&file, configuration(&f.preset)).unwrap();
    f.ctl(0, &["put", &file.display().to_string(), "--base", "0"]);
    f.wait_until_serving();
    assert_finds(&f, edge, &["no findings"], 0);
    f.ctl(0, &["evacuate", "n2", "--base", "1"]);
    assert_finds(&f, edge, &["D21 note a zone is evacuated"], 0);
    f.ctl(0, &["return", "n2", "--base", "2"]);
    // the only model worker of a region stops
    let k = f
        .workers
        .iter()
        .position(|w| w.profile.name == "south-gpu0")
        .unwrap();
    let gone = f.workers.remove(k);
    let addr = gone.addr;
    drop(gone);
    assert_finds(
        &f,
        edge,
        &[
            "D19 warn a worker does not report its load",
            &addr.to_string(),
            "D22 warn",
        ],
        1,
    );
    // settings of another site, and invalid settings
    let text = std::fs::read_to_string(&f.nodes[edge].file).unwrap();
    let other = f.root.join("other.json");
    std::fs::write(&other, text.replace("\"press\"", "\"mess\"")).unwrap();
    let (c, out) = doctor(&f, &other);
    assert!(
        c == 2 && out.contains("D04 broken a seed belongs to another site"),
        "{out}"
    );
    std::fs::write(&other, text.replace("\"zone\"", "\"zoo\"")).unwrap();
    let (c, out) = doctor(&f, &other);
    assert!(
        c == 2 && out.contains("D01") && out.contains("zoo: unknown field"),
        "{out}"
    );
    // one core is killed: its seed, its membership and its region are affected
    let lost = f.node("core-s1");
    f.kill(lost);
    assert_finds(&f, edge, &["D02", "D12 warn", "D13 warn"], 1);
    // a second core is killed: there is no leader
    let more = f.node("core-n2");
    f.kill(more);
    assert_finds(&f, edge, &["D10 broken there is no global leader"], 2);
    let last = f.node("core-n1");
    f.kill(last);
    assert_finds(&f, edge, &["D03 broken no seed address"], 2);
}
