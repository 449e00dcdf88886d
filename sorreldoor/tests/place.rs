//! Placement: few move when a worker comes or goes, and caps hold for all.

use sorreldoor::place::{match_spot, part_of, rank, Ask, Spot};
use sorreldoor::setup::{read, Site};

const DOC: &str = r#"{"groups":{"g":{"kind":"model"}},"services":{"s":{"groups":["g"]}},
 "routes":{"r":{"kind":"prefix","shares":{"s":{"weight":1}}}}}"#;

fn spots(n: usize) -> Vec<Option<Spot>> {
    (0..n)
        .map(|i| {
            Some(Spot {
                name: format!("w{i}"),
                open: true,
                slots: 4,
                most: 4,
                cap: 8,
                ..Spot::default()
            })
        })
        .collect()
}

#[test]
fn a_flapping_worker_moves_only_its_own_prefixes() {
    let site = Site {
        regions: vec!["a".into()],
        zones: vec![("a1".into(), 0)],
    };
    let (s, _) = read(DOC.as_bytes(), &site).unwrap();
    let all = spots(10);
    let mut less = spots(10);
    if let Some(w) = less[3].as_mut() {
        w.open = false;
    }
    let at = |spots: &[Option<Spot>], key: &str| {
        let a = Ask {
            key,
            id: "e",
            ..Ask::default()
        };
        match_spot(&s, &[], spots, &|_| false, &a, 0).map(|(_, i)| i)
    };
    let (mut moved, mut its) = (0, 0);
    for k in 0..1000 {
        let key = format!("prefix{k}");
        let (a, b) = (at(&all, &key), at(&less, &key));
        assert_ne!(b, Some(3));
        its += usize::from(a == Some(3));
        moved += usize::from(a != b);
    }
    println!("{moved} of 1000 prefixes moved");
    assert_eq!(moved, its);
    assert!((50..200).contains(&its), "{its}");
}

#[test]
fn parts_of_a_cap_add_up_to_it_on_all_edges() {
    let edges: Vec<String> = (0..9).map(|i| format!("edge{i}")).collect();
    for cap in 0..30 {
        for w in ["w1", "w2/7", "w3"] {
            let sum: u32 = edges
                .iter()
                .map(|e| part_of(cap, edges.len(), rank(&edges, e, w)))
                .sum();
            assert_eq!(sum, cap);
        }
    }
}
