//! The doctor on fleets made faulty on purpose.

use std::process::Command;
use std::time::Duration;
use testbed::fleet::{configuration, press, Fleet, SitePreset};

const LONG: Duration = Duration::from_secs(40);

fn small() -> SitePreset {
    SitePreset {
        regions: vec![("north", vec!["n1", "n2"], 2), ("south", vec!["s1"], 1)],
        webs: 1,
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

/// Wait until the doctor says each of these, and check its exit code.
fn finds(f: &Fleet, at: usize, numbers: &[&str], code: i32) {
    let file = f.nodes[at].file.clone();
    let ok = f.until(LONG, |f| {
        let (c, text) = doctor(f, &file);
        c == code && numbers.iter().all(|n| text.contains(n))
    });
    let (c, text) = doctor(f, &file);
    assert!(ok, "wanted {numbers:?} and {code}; got {c}:\n{text}");
}

#[test]
fn the_doctor_finds_what_was_made_faulty() {
    let d = std::env::temp_dir().join(format!("sorreldoor-doctor-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    let mut f = Fleet::start(&d, small());
    f.wait_until_founded();
    let edge = f.edges()[0];
    finds(&f, edge, &["D15 broken no configuration"], 2);
    let file = f.root.join("setup.json");
    std::fs::write(&file, configuration(&f.preset)).unwrap();
    f.ctl(0, &["put", &file.display().to_string(), "--base", "0"]);
    f.wait_until_serving();
    finds(&f, edge, &["no findings"], 0);
    f.ctl(0, &["evacuate", "n2", "--base", "1"]);
    finds(&f, edge, &["D21 note a zone is evacuated"], 0);
    f.ctl(0, &["return", "n2", "--base", "2"]);
    // a worker goes dark, and with it the region that has no other
    let k = f
        .workers
        .iter()
        .position(|w| w.profile.name == "south-gpu0")
        .unwrap();
    let gone = f.workers.remove(k);
    let addr = gone.addr;
    drop(gone);
    finds(
        &f,
        edge,
        &[
            "D19 warn a worker does not report its load",
            &addr.to_string(),
            "D22 warn",
        ],
        1,
    );
    // other settings: another site, and faults
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
    // a core dies: its seed, its seat, its region
    let lost = f.node("core-s1");
    f.kill(lost);
    finds(&f, edge, &["D02", "D12 warn", "D13 warn"], 1);
    // and another: nobody leads, no edge may serve
    let more = f.node("core-n2");
    f.kill(more);
    finds(&f, edge, &["D10 broken there is no global leader"], 2);
    let last = f.node("core-n1");
    f.kill(last);
    finds(&f, edge, &["D03 broken no seed address"], 2);
}
