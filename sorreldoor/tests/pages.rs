//! The pages and examples held against the code.

use sorreldoor::events::Ev;
use sorreldoor::problem::Problem;
use sorreldoor::settings::{Over, Role, Settings};
use sorreldoor::setup;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join(name)).unwrap()
}

#[test]
fn the_catalogue_of_events_is_the_codes() {
    let text = page("docs/events.md");
    let numbers: BTreeSet<u16> = Ev::ALL.iter().map(|e| e.no()).collect();
    assert_eq!(numbers.len(), Ev::ALL.len(), "numbers are given once");
    for e in Ev::ALL {
        let level = e.level().to_string().to_lowercase();
        let row = format!("| E{} | {level} | {} | ", e.no(), e.text());
        assert!(text.contains(&row), "{row}");
    }
    assert_eq!(text.matches("\n| E").count(), Ev::ALL.len());
}

#[test]
fn the_table_of_problems_is_the_codes() {
    let text = page("docs/problems.md");
    for p in Problem::ALL {
        let again = if p.again() { "yes" } else { "no" };
        let row = format!(
            "| `{}` | {} | {again} | {} |",
            p.code(),
            p.status(),
            p.text()
        );
        assert!(text.contains(&row), "{row}");
    }
    assert_eq!(text.matches("\n| `").count(), Problem::ALL.len());
}

#[test]
fn the_doctors_page_is_the_codes() {
    let text = page("docs/doctor.md");
    for (no, sev, what, remedy) in sorreldoor::doctor::ALL {
        let row = format!("| D{no:02} | {} | {what} | {remedy} |", sev.text());
        assert!(text.contains(&row), "{row}");
    }
}

#[test]
fn the_examples_are_good() {
    for site in ["press", "archive"] {
        let mut names = None;
        for (role, file) in [(Role::Core, "core"), (Role::Edge, "edge")] {
            let data = std::env::temp_dir().join(format!("sorreldoor-ex-{}", std::process::id()));
            let over = Over {
                data: Some(data.display().to_string()),
                ..Over::default()
            };
            let text = page(&format!("examples/{site}-{file}.json"));
            let s = Settings::read(text.as_bytes(), &over, role).unwrap();
            names = Some(s.names.clone());
        }
        let text = page(&format!("examples/{site}-setup.json"));
        let (s, _) = setup::read(text.as_bytes(), &names.unwrap()).unwrap();
        assert!(s.routes.len() >= 3);
    }
}

fn sources(dir: &Path, out: &mut Vec<PathBuf>) {
    for f in std::fs::read_dir(dir).unwrap() {
        let p = f.unwrap().path();
        if p.is_dir() && !p.ends_with("target") {
            sources(&p, out);
        } else if p.extension().is_some_and(|e| e == "rs") {
            out.push(p);
        }
    }
}

#[test]
fn no_file_is_over_400_lines() {
    let mut all = Vec::new();
    sources(&root(), &mut all);
    assert!(all.len() > 40);
    let lines = |p: &PathBuf| std::fs::read_to_string(p).unwrap().lines().count();
    let long: Vec<_> = all.iter().filter(|p| lines(p) > 400).collect();
    assert!(long.is_empty(), "{long:?}");
}
