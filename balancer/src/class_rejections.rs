//! Detects that an endpoint rejects the requests of some classes while it serves others.

use crate::backoff::MAX_BACKOFF_DOUBLINGS;
use crate::{Micros, Outcome};

/// Recent rejections of the requests of one class by an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct ClassState {
    /// Number of rejections since a request of the class was last served.
    consecutive_rejections: u32,
    /// When the first of these rejected requests was sent.
    first_rejected_sent_at: Micros,
    /// When the request of the class that was served last was sent.
    last_served_sent_at: Micros,
    /// Until this time, the endpoint counts as not accepting requests of the class.
    avoided_until: Micros,
}

/// An endpoint's rejections by class.
#[derive(Debug, Default)]
pub(crate) struct ClassRejections {
    by_class: Vec<ClassState>,
}

impl ClassRejections {
    pub(crate) fn new(class_count: usize) -> Self {
        ClassRejections {
            by_class: vec![ClassState::default(); class_count],
        }
    }

    /// Whether the endpoint counts as accepting requests of a class. If not, they are sent to it
    /// only if no other endpoint that may be sent them accepts the class either.
    pub(crate) fn accepts_class(&self, class_id: usize, now: Micros) -> bool {
        self.by_class
            .get(class_id)
            .is_none_or(|class| now >= class.avoided_until)
    }

    /// Records the outcome of an attempt. Returns true if the endpoint rejects only this class: it
    /// has rejected at least two consecutive requests of the class, and served a request of another
    /// class that was sent after the first of them. The endpoint then counts as not accepting the
    /// class for an exponential backoff.
    pub(crate) fn record(
        &mut self,
        class_id: usize,
        outcome: Outcome,
        sent_at: Micros,
        now: Micros,
        initial_backoff: Micros,
    ) -> bool {
        let other_classes = self
            .by_class
            .iter()
            .enumerate()
            .filter(|(class, _)| *class != class_id);
        let others_last_served_sent_at = other_classes
            .map(|(_, class)| class.last_served_sent_at)
            .max()
            .unwrap_or(0);
        let Some(class) = self.by_class.get_mut(class_id) else {
            return false;
        };
        if outcome == Outcome::Served {
            *class = ClassState {
                last_served_sent_at: sent_at,
                ..ClassState::default()
            };
        } else if outcome == Outcome::Rejected {
            class.consecutive_rejections = class.consecutive_rejections.saturating_add(1);
            if class.consecutive_rejections == 1 {
                class.first_rejected_sent_at = sent_at;
            } else if others_last_served_sent_at > class.first_rejected_sent_at {
                let doublings = (class.consecutive_rejections - 2).min(MAX_BACKOFF_DOUBLINGS);
                class.avoided_until = now + (initial_backoff << doublings);
                return true;
            }
        }
        false
    }
}
