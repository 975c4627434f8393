//! Holds what clients and form servers saw against the rules. It knows nothing of the daemon's own
//! state.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What was seen of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// A client asked for it; may it be sent on twice?
    Asked {
        /// May it be sent on twice?
        repeatable: bool,
    },
    /// A client had an answer.
    Answered(Answer),
    /// The client's connection ended, or its time was over, without an answer.
    Unanswered {
        /// Its ingress was killed or stopped meanwhile: no answer was to be had.
        excused: bool,
    },
    /// An attempt came whole to this form server.
    Began(usize),
    /// This form server answered it.
    Ended(usize),
}

/// An answer by its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A value.
    Served,
    /// Refused: it never ran.
    Refused,
    /// Failed: whether it ran is not known.
    Failed,
}

/// One thing that was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// When, since the ledger began.
    pub at: Duration,
    /// The request.
    pub id: u64,
    /// What.
    pub what: What,
}

/// All that clients and form servers saw, in the order in which they noted it.
#[derive(Clone, Debug)]
pub struct Ledger(Arc<(Instant, Mutex<Vec<Event>>)>);

impl Default for Ledger {
    fn default() -> Self {
        Ledger(Arc::new((Instant::now(), Mutex::default())))
    }
}

impl Ledger {
    /// Notes something.
    pub fn note(&self, id: u64, what: What) {
        let mut events = self.0 .1.lock().unwrap_or_else(PoisonError::into_inner);
        // Taken under the lock: times go with the order.
        let at = self.0 .0.elapsed();
        events.push(Event { at, id, what });
    }

    /// What was noted so far.
    pub fn events(&self) -> Vec<Event> {
        self.0
             .1
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// What the rules say of a trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Requests asked, served, refused, failed, and without an answer but excused.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Unanswered, as their ingress was killed or stopped.
    pub excused: u64,
    /// Attempts at form servers.
    pub attempts: u64,
    /// Each broken rule, in words.
    pub broken: Vec<String>,
}

impl Verdict {
    /// What was counted, by name.
    pub fn counts(&self) -> [(&'static str, u64); 6] {
        [
            ("asked", self.asked),
            ("served", self.served),
            ("refused", self.refused),
            ("failed", self.failed),
            ("excused", self.excused),
            ("attempts", self.attempts),
        ]
    }
}

#[derive(Default)]
struct Seen {
    repeatable: bool,
    answers: u32,
    served: bool,
    out: u32,
    began: u32,
    ended: u32,
}

/// Judges a trace: exactly one final answer a request (or a reason why none could be had), no
/// second attempt of what must not run twice, never two attempts out at once, nothing served that
/// no form server answered, and nothing refused that ran.
pub fn judge(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::default();
    let mut seen: BTreeMap<u64, Seen> = BTreeMap::new();
    let mut broken = Vec::new();
    for event in events {
        let id = event.id;
        let mut wrong = |what: &str| {
            broken.push(format!(
                "{id:016x} at {:.3} s: {what}",
                event.at.as_secs_f64()
            ))
        };
        if let What::Asked { repeatable } = event.what {
            verdict.asked += 1;
            if seen
                .insert(
                    id,
                    Seen {
                        repeatable,
                        ..Seen::default()
                    },
                )
                .is_some()
            {
                wrong("asked twice under one id");
            }
            continue;
        }
        let Some(request) = seen.get_mut(&id) else {
            wrong("nobody asked for it");
            continue;
        };
        match event.what {
            What::Asked { .. } => {}
            What::Answered(answer) => {
                request.answers += 1;
                if request.answers > 1 {
                    wrong("a second final answer");
                }
                match answer {
                    Answer::Served => {
                        verdict.served += 1;
                        request.served = true;
                        if request.ended == 0 {
                            wrong("served, and no form server answered it");
                        }
                    }
                    Answer::Refused => {
                        verdict.refused += 1;
                        if request.began > 0 && !request.repeatable {
                            wrong("refused after it may have run");
                        }
                    }
                    Answer::Failed => verdict.failed += 1,
                }
            }
            What::Unanswered { excused } => {
                request.answers += 1;
                if excused {
                    verdict.excused += 1;
                } else {
                    wrong("no final answer");
                }
            }
            What::Began(_) => {
                verdict.attempts += 1;
                (request.began, request.out) = (request.began + 1, request.out + 1);
                if request.began > 1 && !request.repeatable {
                    wrong("sent on again, and it must not run twice");
                }
                if request.served {
                    wrong("sent on after it was served");
                }
                if request.out > 1 {
                    wrong("two attempts out at once");
                }
            }
            What::Ended(_) => {
                request.ended += 1;
                request.out = request.out.saturating_sub(1);
            }
        }
    }
    for (id, request) in &seen {
        if request.answers == 0 {
            broken.push(format!("{id:016x}: no final answer by the end"));
        }
    }
    Verdict { broken, ..verdict }
}

#[cfg(test)]
mod tests {
    use super::*;

    const READ: What = What::Asked { repeatable: true };
    const SIGN: What = What::Asked { repeatable: false };
    const SERVED: What = What::Answered(Answer::Served);
    const REFUSED: What = What::Answered(Answer::Refused);
    const FAILED: What = What::Answered(Answer::Failed);

    fn judged(steps: &[What]) -> Verdict {
        let event = |(n, what): (usize, &What)| Event {
            at: Duration::from_millis(n as u64),
            id: 7,
            what: *what,
        };
        judge(&steps.iter().enumerate().map(event).collect::<Vec<_>>())
    }

    #[test]
    fn what_keeps_the_rules_is_counted() {
        for steps in [
            &[READ, What::Began(0), What::Ended(0), SERVED][..],
            &[
                READ,
                What::Began(0),
                What::Ended(0),
                What::Began(1),
                What::Ended(1),
                SERVED,
            ],
            &[SIGN, What::Began(0), FAILED],
            &[SIGN, REFUSED],
            &[SIGN, What::Began(0), What::Unanswered { excused: true }],
        ] {
            assert_eq!(judged(steps).broken, Vec::<String>::new(), "{steps:?}");
        }
        let verdict = judged(&[READ, What::Began(0), What::Ended(0), SERVED]);
        assert_eq!((verdict.asked, verdict.served, verdict.attempts), (1, 1, 1));
    }

    #[test]
    fn each_broken_rule_is_found() {
        for (steps, said) in [
            (&[READ][..], "no final answer by the end"),
            (
                &[READ, What::Unanswered { excused: false }],
                "no final answer",
            ),
            (
                &[READ, What::Began(0), What::Ended(0), SERVED, SERVED],
                "a second final answer",
            ),
            (&[READ, REFUSED, REFUSED], "a second final answer"),
            (&[READ, SERVED], "no form server answered it"),
            (
                &[SIGN, What::Began(0), What::Ended(0), What::Began(1), FAILED],
                "must not run twice",
            ),
            (
                &[SIGN, What::Began(0), REFUSED],
                "refused after it may have run",
            ),
            (
                &[READ, What::Began(0), What::Began(1), What::Ended(1), SERVED],
                "two attempts out at once",
            ),
            (
                &[READ, What::Began(0), What::Ended(0), SERVED, What::Began(1)],
                "sent on after it was served",
            ),
            (&[READ, READ, REFUSED], "asked twice"),
            (&[What::Began(0)], "nobody asked for it"),
        ] {
            let broken = judged(steps).broken;
            assert!(
                broken.iter().any(|b| b.contains(said)),
                "{steps:?}: {broken:?}"
            );
        }
    }
}
