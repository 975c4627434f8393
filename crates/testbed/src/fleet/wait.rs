//! Waits for what the members of a fleet see of each other.

use super::Fleet;
use serde_json::Value;
use std::fs;
use std::io;
use std::time::{Duration, Instant};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Fleet {
    /// Waits until each of these members sees all the others of them alive; the time that it took.
    pub fn wait_until_all_alive(
        &self,
        running: &[usize],
        max_wait: Duration,
    ) -> io::Result<Duration> {
        let expectation = format!("{running:?} hold one another alive");
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

    /// Waits until a member's status file has another in this state; the time that it took.
    pub fn wait_for_state(
        &self,
        number: usize,
        other: usize,
        state: &str,
        max_wait: Duration,
    ) -> io::Result<Duration> {
        let expectation = format!("n{number} holds n{other} {state}");
        self.wait_until(max_wait, &expectation, |fleet| {
            fleet.status(number).is_ok_and(|status| {
                membership_state(&status, &fleet.members[other].name) == Some(state)
            })
        })
    }

    /// Waits until a condition holds, and returns the time that it took. Status files, which the
    /// daemons write each second, are shown by the error.
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
            "never came: {expectation}; what was:\n{}",
            found.join("\n")
        )))
    }
}

/// The state of a member by this name in a status file.
#[must_use]
pub fn membership_state<'a>(status: &'a Value, name: &str) -> Option<&'a str> {
    status["members"]
        .as_array()?
        .iter()
        .find(|member| member["name"] == name)?["standing"]
        .as_str()
}
