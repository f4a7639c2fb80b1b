//! Decides whether connections to an endpoint may be reused. A response that nobody asked for, sent
//! on a connection after the response to its request, is taken for the response to the next request
//! there once that request's first byte is written: its client gets another one's data. An endpoint
//! that was seen to send such responses gets each request on a new connection, for a time that
//! doubles if it does so again soon after.

use crate::Micros;

/// How long connections are not reused after a first unsolicited response.
const INITIAL_DISTRUST_US: Micros = 30_000_000;
/// The longest time for which connections are not reused after an unsolicited response.
const MAX_DISTRUST_US: Micros = 480_000_000;

/// Whether connections to one endpoint may be reused.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionTrust {
    /// Connections are not reused before this time.
    distrusted_until: Micros,
    /// How long the last distrust lasts; 0 if there was none.
    distrust: Micros,
}

impl ConnectionTrust {
    /// Records that the endpoint has sent something on a connection that carried no request.
    pub fn record_unsolicited_response(&mut self, now: Micros) {
        if self.distrust == 0 {
            self.distrust = INITIAL_DISTRUST_US;
        } else if self.may_reuse(now) {
            self.distrust = (2 * self.distrust).min(MAX_DISTRUST_US);
        }
        self.distrusted_until = now + self.distrust;
    }

    /// Whether a connection to the endpoint may carry another request.
    pub fn may_reuse(&self, now: Micros) -> bool {
        now >= self.distrusted_until
    }

    /// Whether the endpoint counts as one that has never sent an unsolicited response: it has sent
    /// none for as long again as its connections were not reused.
    pub fn is_restored(&self, now: Micros) -> bool {
        now >= self.distrusted_until + self.distrust
    }
}
