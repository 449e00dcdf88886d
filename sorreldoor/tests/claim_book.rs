//! The claims that one core has noted, and until when.

use sorreldoor::control_plane::book::{Book, By, ClaimRecord, Note};

fn n(id: &str, by: By) -> ClaimRecord {
    let (id, keep_ms) = (id.to_string(), 1000);
    ClaimRecord { id, by, keep_ms }
}

#[test]
fn a_claim_stands_until_its_time_and_no_shorter() {
    let mut b = Book::new(3);
    assert_eq!(b.note(&n("a", 1), 0), Note::Fresh);
    assert_eq!(b.note(&n("a", 2), 500), Note::Other(1));
    assert_eq!(b.note(&n("b", 2), 600), Note::Fresh);
    assert_eq!(b.note(&n("c", 3), 600), Note::Fresh);
    // full is said, nothing is forgotten for it
    assert_eq!(b.note(&n("d", 4), 999), Note::Full);
    assert_eq!(b.expire(999), Vec::<String>::new());
    assert_eq!(b.expire(1000), vec!["a".to_string()]);
    assert_eq!(b.note(&n("d", 4), 1000), Note::Fresh);
}

/// Given up and claimed again, an id keeps the time of its new claim.
#[test]
fn an_id_claimed_again_is_not_dropped_by_its_old_place() {
    let mut b = Book::new(10);
    b.note(&n("a", 1), 0);
    assert!(b.free("a", 1, 400));
    assert_eq!(b.note(&n("a", 2), 500), Note::Fresh);
    assert!(b.expire(1200).is_empty());
    assert_eq!(b.note(&n("a", 3), 1200), Note::Other(2));
    let (rows, next, end) = b.page(0, 10, 600);
    assert_eq!((rows.len(), next, end), (1, 3, true));
    assert_eq!(rows[0].keep_ms, 900);
}

#[test]
fn a_claim_overtaken_by_its_own_end_is_not_noted() {
    let mut b = Book::new(10);
    assert!(!b.free("a", 1, 0));
    assert_eq!(b.note(&n("a", 1), 5), Note::Freed);
    assert_eq!(b.note(&n("a", 2), 6), Note::Fresh);
}

#[test]
fn pages_lead_through_all_that_was_noted() {
    let mut b = Book::new(100);
    for i in 0..25 {
        b.note(&n(&format!("x{i}"), i), 0);
    }
    let (mut from, mut all, mut end) = (0, Vec::new(), false);
    while !end {
        let p = b.page(from, 10, 0);
        all.extend(p.0);
        (from, end) = (p.1, p.2);
    }
    assert_eq!(all.len(), 25);
    // what is noted meanwhile comes behind
    b.note(&n("late", 99), 0);
    assert_eq!(b.page(from, 10, 0).0.len(), 1);
}
