//! How long the beginning of a response is buffered.

use balancer::BodyFraming;

const SECOND: u64 = 1_000_000;
/// A long response that is held back for this time counts as lost.
const MAX_HELD_BACK: u64 = 2 * SECOND;

#[test]
fn every_body_of_unknown_length_is_forwarded_before_it_counts_as_held_back() {
    for framing in [BodyFraming::Chunked, BodyFraming::UntilClose] {
        for time_left in [0, 1, SECOND / 10, SECOND, 10 * SECOND, u64::MAX] {
            let times = framing.buffering_times(time_left);
            let times = times.expect("a body of unknown length should have a limit");
            assert!(times.flush_after < MAX_HELD_BACK, "{framing:?} {time_left}");
            assert!(times.forward_after <= times.flush_after);
        }
    }
}

#[test]
fn a_body_that_ends_with_its_connection_is_forwarded_while_its_first_byte_is_in_time() {
    for time_left in [SECOND / 10, SECOND / 2, SECOND, 3 * SECOND] {
        let times = BodyFraming::UntilClose.buffering_times(time_left);
        let times = times.expect("a body of unknown length should have a limit");
        assert!(times.forward_after <= time_left / 2, "{time_left}");
    }
}

#[test]
fn a_short_body_of_known_length_has_no_limit_but_the_clients_time() {
    assert_eq!(BodyFraming::Length.buffering_times(SECOND), None);
}
