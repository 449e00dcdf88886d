//! The schedule of `Retry-After` times of rejected requests.

use sorreldoor::error::ErrorCode;
use sorreldoor::gateway::request_table::RetryAfterSchedule;

/// Four times the load that is served: the retries scheduled for any one second
/// stay within a fifth of the arrivals.
#[test]
fn retries_of_an_overload_are_spread_over_time() {
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
    let peak = retries_per_second.iter().take(60).max().unwrap();
    assert!((30..=80).contains(peak), "{peak}");
    assert_eq!(retries_per_second.iter().sum::<u64>(), 30 * 300);
    // no retry is scheduled at once
    assert!(retries_per_second[10] == 0 && retries_per_second[11] < 10);
}

#[test]
fn a_single_request_is_to_be_retried_within_three_seconds() {
    let mut schedule = RetryAfterSchedule::default();
    schedule.record_arrival(5000);
    assert!(schedule.schedule(ErrorCode::NoLease, 0, 5000) <= 2);
    assert!((2..=3).contains(&schedule.schedule(ErrorCode::NoWorker, 0, 5000)));
}
