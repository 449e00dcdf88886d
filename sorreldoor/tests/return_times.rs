//! When callers are told to come back.

use sorreldoor::error::ErrorCode;
use sorreldoor::gateway::request_table::RetryAfterSchedule;

/// A crowd four times what is served: returns stay a fifth of what comes.
#[test]
fn a_crowd_is_told_to_come_back_spread_out() {
    let mut schedule = RetryAfterSchedule::default();
    let mut back = [0u64; 400];
    for s in 0..40u64 {
        for i in 0..400u64 {
            let now = s * 1000 + i * 1000 / 400;
            schedule.record_arrival(now);
            if i % 4 == 0 {
                schedule.record_served(now);
            } else if s >= 10 {
                back[(s + schedule.schedule(ErrorCode::QueueFull, 64, now)) as usize] += 1;
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
    let mut schedule = RetryAfterSchedule::default();
    schedule.record_arrival(5000);
    assert!(schedule.schedule(ErrorCode::NoLease, 0, 5000) <= 2);
    assert!((2..=3).contains(&schedule.schedule(ErrorCode::NoWorker, 0, 5000)));
}
