//! The table of claimed idempotency keys: expiry, release, paging.

use sorreldoor::control_plane::idempotency::{ClaimOutcome, ClaimRecord, ClaimTable, Claimant};

fn claim(id: &str, claimant: Claimant) -> ClaimRecord {
    ClaimRecord {
        id: id.to_string(),
        claimant,
        retention_ms: 1000,
    }
}

#[test]
fn a_claim_is_held_until_its_expiry() {
    let mut table = ClaimTable::new(3);
    assert_eq!(table.claim(&claim("a", 1), 0), ClaimOutcome::Granted);
    assert_eq!(table.claim(&claim("a", 2), 500), ClaimOutcome::Conflict(1));
    assert_eq!(table.claim(&claim("b", 2), 600), ClaimOutcome::Granted);
    assert_eq!(table.claim(&claim("c", 3), 600), ClaimOutcome::Granted);
    // a full table rejects the claim and evicts nothing
    assert_eq!(table.claim(&claim("d", 4), 999), ClaimOutcome::Full);
    assert_eq!(table.expire(999), Vec::<String>::new());
    assert_eq!(table.expire(1000), vec!["a".to_string()]);
    assert_eq!(table.claim(&claim("d", 4), 1000), ClaimOutcome::Granted);
}

/// A key that is released and claimed again keeps the expiry of its new claim.
#[test]
fn a_reclaimed_key_keeps_the_expiry_of_its_new_claim() {
    let mut table = ClaimTable::new(10);
    assert_eq!(table.claim(&claim("a", 1), 0), ClaimOutcome::Granted);
    assert!(table.release("a", 1, 400));
    assert_eq!(table.claim(&claim("a", 2), 500), ClaimOutcome::Granted);
    assert!(table.expire(1200).is_empty());
    assert_eq!(table.claim(&claim("a", 3), 1200), ClaimOutcome::Conflict(2));
    let page = table.page(0, 10, 600);
    assert_eq!((page.claims.len(), page.next, page.last), (1, 3, true));
    assert_eq!(page.claims[0].retention_ms, 900);
}

#[test]
fn a_claim_after_its_release_is_not_recorded() {
    let mut table = ClaimTable::new(10);
    assert!(!table.release("a", 1, 0));
    assert_eq!(table.claim(&claim("a", 1), 5), ClaimOutcome::Released);
    assert_eq!(table.claim(&claim("a", 2), 6), ClaimOutcome::Granted);
}

#[test]
fn paging_returns_all_recorded_claims() {
    let mut table = ClaimTable::new(100);
    for i in 0..25 {
        let outcome = table.claim(&claim(&format!("x{i}"), i), 0);
        assert_eq!(outcome, ClaimOutcome::Granted);
    }
    let (mut start, mut claims, mut last) = (0, Vec::new(), false);
    while !last {
        let page = table.page(start, 10, 0);
        claims.extend(page.claims);
        (start, last) = (page.next, page.last);
    }
    assert_eq!(claims.len(), 25);
    // a later claim follows on the next page
    assert_eq!(table.claim(&claim("late", 99), 0), ClaimOutcome::Granted);
    assert_eq!(table.page(start, 10, 0).claims.len(), 1);
}
