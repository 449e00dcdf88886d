//! When callers are told to come back.

use sorreldoor::error::ErrorCode;
use sorreldoor::gateway::request_table::Again;

/// A crowd four times what is served: returns stay a fifth of what comes.
#[test]
fn a_crowd_is_told_to_come_back_spread_out() {
    let mut a = Again::default();
    let mut back = [0u64; 400];
    for s in 0..40u64 {
        for i in 0..400u64 {
            let now = s * 1000 + i * 1000 / 400;
            a.came(now);
            if i % 4 == 0 {
                a.done(now);
            } else if s >= 10 {
                back[(s + a.book(ErrorCode::QueueFull, 64, now)) as usize] += 1;
            }
        }
    }
    // nobody is asked back at once, and no second gets more than a fifth
    let most = back.iter().take(60).max().unwrap();
    assert!((30..=80).contains(most), "{most}");
    assert_eq!(back.iter().sum::<u64>(), 30 * 300);
    assert!(back[10] == 0 && back[11] < 10);
}

#[test]
fn a_single_caller_comes_back_soon() {
    let mut a = Again::default();
    a.came(5000);
    assert!(a.book(ErrorCode::NoLease, 0, 5000) <= 2);
    assert!((2..=3).contains(&a.book(ErrorCode::NoWorker, 0, 5000)));
}
