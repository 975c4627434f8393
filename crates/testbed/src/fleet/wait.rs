//! Waiting until the members of a fleet see each other in expected states.

use super::Fleet;
use serde_json::Value;
use std::fs;
use std::io;
use std::time::{Duration, Instant};

/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Fleet {
    /// Waits until each of these members sees all others of them as alive. Returns the time that
    /// this took.
    pub fn wait_until_all_alive(
        &self,
        running: &[usize],
        max_wait: Duration,
    ) -> io::Result<Duration> {
        let expectation = format!("members {running:?} see each other as alive");
        self.wait_until(max_wait, &expectation, |fleet| {
            running.iter().all(|number| {
                let Ok(status) = fleet.status(*number) else {
                    return false;
                };
                let mut others = running.iter().filter(|other| *other != number);
                others.all(|other| {
                    membership_state(&status, &fleet.members[*other].name) == Some("alive")
                })
            })
        })
    }

    /// Waits until the status file of member `number` shows member `other` in this state. Returns
    /// the time that this took.
    pub fn wait_for_state(
        &self,
        number: usize,
        other: usize,
        state: &str,
        max_wait: Duration,
    ) -> io::Result<Duration> {
        let expectation = format!("n{number} sees n{other} as {state}");
        self.wait_until(max_wait, &expectation, |fleet| {
            fleet.status(number).is_ok_and(|status| {
                membership_state(&status, &fleet.members[other].name) == Some(state)
            })
        })
    }

    /// Waits until a condition holds, and returns the time that this took. After `max_wait`, the
    /// error shows the status files, which the daemons write each second.
    pub fn wait_until(
        &self,
        max_wait: Duration,
        expectation: &str,
        holds: impl Fn(&Fleet) -> bool,
    ) -> io::Result<Duration> {
        let began_at = Instant::now();
        while began_at.elapsed() < max_wait {
            if holds(self) {
                return Ok(began_at.elapsed());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let read = |number: usize| {
            fs::read_to_string(self.status_file(number))
                .unwrap_or_else(|error| format!("n{number}: {error}"))
        };
        let found: Vec<String> = (0..self.members.len()).map(read).collect();
        Err(io::Error::other(format!(
            "condition not met within {max_wait:?}: {expectation}; status files:\n{}",
            found.join("\n")
        )))
    }
}

/// Returns the state of the member with this name in a status file; `None` if it is not listed.
#[must_use]
pub fn membership_state<'a>(status: &'a Value, name: &str) -> Option<&'a str> {
    status["members"]
        .as_array()?
        .iter()
        .find(|member| member["name"] == name)?["standing"]
        .as_str()
}
