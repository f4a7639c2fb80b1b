//! Whether an endpoint rejects the requests of some classes alone.

use crate::backoff::MAX_BACKOFF_DOUBLINGS;
use crate::{Micros, Outcome};

/// What an endpoint did with the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassRejection {
    /// Rejections since the last request that was served.
    consecutive: u32,
    /// When the first of those was sent.
    first_sent_at: Micros,
    /// When the last request that was served had been sent.
    served_sent_at: Micros,
    /// Requests of the class prefer other endpoints before this time.
    avoided_until: Micros,
}

/// An endpoint's rejections by class.
#[derive(Debug, Default)]
pub(crate) struct ClassRejections {
    by_class: Vec<ClassRejection>,
}

impl ClassRejections {
    pub(crate) fn new(class_count: usize) -> Self {
        ClassRejections {
            by_class: vec![ClassRejection::default(); class_count],
        }
    }

    /// Whether requests of a class may be sent to the endpoint.
    pub(crate) fn accepts(&self, class_id: usize, now: Micros) -> bool {
        self.by_class
            .get(class_id)
            .is_none_or(|class| now >= class.avoided_until)
    }

    /// Records the outcome of an attempt and returns whether the endpoint rejects that class alone:
    /// more than one was rejected, while others that were sent after the first were served.
    pub(crate) fn record(
        &mut self,
        class_id: usize,
        outcome: Outcome,
        sent_at: Micros,
        now: Micros,
        initial_backoff: Micros,
    ) -> bool {
        let others = self
            .by_class
            .iter()
            .enumerate()
            .filter(|(class, _)| *class != class_id);
        let others_served = others
            .map(|(_, class)| class.served_sent_at)
            .max()
            .unwrap_or(0);
        let Some(class) = self.by_class.get_mut(class_id) else {
            return false;
        };
        if outcome == Outcome::Served {
            *class = ClassRejection {
                served_sent_at: sent_at,
                ..ClassRejection::default()
            };
        } else if outcome == Outcome::Rejected {
            class.consecutive = class.consecutive.saturating_add(1);
            if class.consecutive == 1 {
                class.first_sent_at = sent_at;
            } else if others_served > class.first_sent_at {
                let doublings = (class.consecutive - 2).min(MAX_BACKOFF_DOUBLINGS);
                class.avoided_until = now + (initial_backoff << doublings);
                return true;
            }
        }
        false
    }
}
