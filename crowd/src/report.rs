//! What a play of a crowd showed.

use crate::large_body::LargeBodyAnswer;
use crate::ordinary::Answer;
use crate::resources::ResourceUse;
use std::fmt;
use std::time::Duration;

/// The result of a play.
#[derive(Clone, Debug)]
pub struct Report {
    /// What the proxy's processes used together at the end of the crowd.
    pub at_end: ResourceUse,
    /// The same some seconds after the crowd had gone.
    pub afterwards: ResourceUse,
    /// The most of each over the whole play.
    pub most: ResourceUse,
    /// What ordinary clients got.
    pub answers: Vec<Answer>,
    /// What the clients of large bodies got, in the order of their starts.
    pub large_answers: Vec<LargeBodyAnswer>,
    /// Whether the process ran to the end of the play.
    pub survived: bool,
}

impl Report {
    /// Number of requests that were served.
    pub fn served(&self) -> usize {
        self.served_times().len()
    }

    /// Number of requests that were rejected.
    pub fn rejected(&self) -> usize {
        let is_rejected = |answer: &&Answer| matches!(answer, Answer::Rejected(_));
        self.answers.iter().filter(is_rejected).count()
    }

    /// Number of requests that got no answer.
    pub fn unanswered(&self) -> usize {
        let is_none = |answer: &&Answer| matches!(answer, Answer::None);
        self.answers.iter().filter(is_none).count()
    }

    /// The median and the longest time in which a request was served.
    pub fn served_latency(&self) -> Option<(Duration, Duration)> {
        let mut times = self.served_times();
        times.sort();
        Some((*times.get(times.len() / 2)?, *times.last()?))
    }

    fn served_times(&self) -> Vec<Duration> {
        let time = |answer: &Answer| match answer {
            Answer::Served(time) => Some(*time),
            _ => None,
        };
        self.answers.iter().filter_map(time).collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let megabytes = |bytes: usize| bytes as f64 / f64::from(1 << 20);
        write!(
            formatter,
            "peak {:.1} MB, at the end {:.1} MB, afterwards {:.1} MB, {} descriptors; ",
            megabytes(self.most.memory),
            megabytes(self.at_end.memory),
            megabytes(self.afterwards.memory),
            self.most.descriptors
        )?;
        write!(
            formatter,
            "others: {} of {} served, {} rejected, {} unanswered",
            self.served(),
            self.answers.len(),
            self.rejected(),
            self.unanswered()
        )?;
        if let Some((median, longest)) = self.served_latency() {
            write!(formatter, ", median {median:.0?}, longest {longest:.0?}")?;
        }
        for answer in &self.large_answers {
            let whole = if answer.is_whole { "" } else { " cut off" };
            let status = answer.status.unwrap_or(0);
            write!(
                formatter,
                "; {status}{whole} after {:.1?}",
                answer.head_after
            )?;
        }
        let survived = if self.survived {
            ""
        } else {
            "; the process ended"
        };
        formatter.write_str(survived)
    }
}
