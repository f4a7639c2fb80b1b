//! Whether long responses that endpoints wrote slowly were forwarded: of each framing half at least.

use super::records::{Framing, RequestRecord};
use std::fmt;
use std::time::Duration;

/// Time before the client's deadline by which a response must have begun to be counted.
const MIN_TIME_LEFT: Duration = Duration::from_millis(100);
/// Number of responses below which a framing is not judged.
const MIN_COUNT: usize = 4;

/// How many slow responses of one framing were forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ForwardedCount {
    framing: Framing,
    forwarded: usize,
    total: usize,
}

impl fmt::Display for ForwardedCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ForwardedCount {
            framing,
            forwarded,
            total,
        } = self;
        write!(
            formatter,
            "{forwarded} of {total} slow long responses were forwarded whose end is given by \
             {framing:?}, at least half are wanted"
        )
    }
}

/// The framings of which less than half of the slow responses were forwarded.
pub(super) fn mostly_cut_off<'a>(
    requests: impl Iterator<Item = &'a RequestRecord> + Clone,
) -> Vec<ForwardedCount> {
    [Framing::Close, Framing::Chunks, Framing::Length]
        .into_iter()
        .map(|framing| count(requests.clone(), framing))
        .filter(|count| count.total >= MIN_COUNT && 2 * count.forwarded < count.total)
        .collect()
}

fn count<'a>(
    requests: impl Iterator<Item = &'a RequestRecord>,
    framing: Framing,
) -> ForwardedCount {
    let (mut forwarded, mut total) = (0, 0);
    for request in requests.filter(|request| is_counted(request, framing)) {
        total += 1;
        let status = request.completion.and_then(|completion| completion.status);
        if status == Some(200) {
            forwarded += 1;
        }
    }
    ForwardedCount {
        framing,
        forwarded,
        total,
    }
}

/// Whether the only attempt of a request got a slow response of this framing in time, and the
/// client waited for it.
fn is_counted(request: &RequestRecord, framing: Framing) -> bool {
    let [attempt] = &request.attempts[..] else {
        return false;
    };
    let Some(slow_response) = attempt.slow_response else {
        return false;
    };
    let Some(timeout_starts_at) = request.timeout_starts_at else {
        return false;
    };
    let deadline = timeout_starts_at + request.client_timeout;
    slow_response.framing == framing
        && slow_response.began_at + MIN_TIME_LEFT < deadline
        && request.disconnected_at.is_none()
        && !request.response_not_required
}
