//! The schedule of `Retry-After` times.

use sorreldoor::error::ErrorCode;
use sorreldoor::gateway::request_table::RetryAfterSchedule;

/// At four times the served load, retries in any second stay a fifth of the arrivals.
#[test]
fn retry_after_of_an_overload_is_spread_out() {
    let mut schedule = RetryAfterSchedule::default();
    let mut retries_per_second = [0u64; 400];
    for second in 0..40u64 {
        for arrival in 0..400u64 {
            let now = second * 1000 + arrival * 1000 / 400;
            schedule.record_arrival(now);
            if arrival % 4 == 0 {
                schedule.record_served(now);
            } else if second >= 10 {
                retries_per_second
                    [(second + schedule.schedule(ErrorCode::QueueFull, 64, now)) as usize] += 1;
            }
        }
    }
    // no retry is scheduled at once, and no second gets more than a fifth
    let peak = retries_per_second.iter().take(60).max().unwrap();
    assert!((30..=80).contains(peak), "{peak}");
    assert_eq!(retries_per_second.iter().sum::<u64>(), 30 * 300);
    assert!(retries_per_second[10] == 0 && retries_per_second[11] < 10);
}

#[test]
fn a_single_client_may_retry_soon() {
    let mut schedule = RetryAfterSchedule::default();
    schedule.record_arrival(5000);
    assert!(schedule.schedule(ErrorCode::NoLease, 0, 5000) <= 2);
    assert!((2..=3).contains(&schedule.schedule(ErrorCode::NoWorker, 0, 5000)));
}
