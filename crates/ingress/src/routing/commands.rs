//! Commands of the platform's protocol: what a request may name, and what a client's words mean.

use super::core::Submission;
use crate::limits::Limits;
use crate::protocol::command::{self, RequestCommand};
use crate::transport::Key;
use roseyard_decision::{CustomerId, Idempotency, RequestClass, Settings};
use roseyard_platform_config::PlatformSettings;
use roseyard_request_engine::Directory;
use std::time::Duration;

/// What a request may name, by the index that the module knows it by, and its figures.
pub struct Terms {
    /// Classes.
    pub classes: Vec<ClassTerms>,
    /// Names of plans.
    pub plans: Vec<String>,
    /// Ingresses of the tier.
    pub ingresses: u32,
    /// Most units of a request.
    pub units: f64,
    /// The name in a request's list of names and values that carries its route; none: requests have
    /// no route.
    pub route_field: Option<String>,
}

/// What is asked of a class's requests.
pub struct ClassTerms {
    /// Its name.
    pub name: String,
    /// May it safely be repeated, and comes with `API.READ`?
    pub safe: bool,
    /// Does it carry a key?
    pub keyed: bool,
}

impl Terms {
    /// The terms of these settings.
    pub fn new(
        options: &PlatformSettings,
        settings: &Settings,
        limits: &Limits,
        route_field: Option<&str>,
    ) -> Terms {
        let class = |(name, class): (&str, &RequestClass)| ClassTerms {
            name: name.to_owned(),
            safe: class.idempotency == Idempotency::Idempotent,
            keyed: matches!(class.idempotency, Idempotency::IdempotencyKey { .. }),
        };
        Terms {
            classes: options
                .class_names()
                .into_iter()
                .zip(&settings.classes)
                .map(class)
                .collect(),
            plans: options
                .plan_names()
                .into_iter()
                .map(str::to_owned)
                .collect(),
            ingresses: settings.ingress_count.max(1),
            units: limits.units,
            route_field: route_field.map(str::to_owned),
        }
    }
}

/// A command, as a client may send it.
pub(super) enum Command {
    /// A request, and the number that its client gave it.
    Request(Submission, u64),
    /// Answered at once with this text.
    Reply(&'static str),
    /// It cannot be carried out; what follows can still be told apart.
    Wrong(&'static str),
    /// The client ends the connection.
    Quit,
}

/// Reads the words of a command.
pub(super) fn read_command(
    words: &[&[u8]],
    owner: (Key, u64),
    terms: &Terms,
    directory: &Directory,
    ready: bool,
) -> Command {
    let Some(name) = words.first() else {
        return Command::Wrong("empty command");
    };
    if command::is_request(name) {
        return match request(words, owner, terms, directory) {
            Ok((ask, id)) => Command::Request(ask, id),
            Err(wrong) => Command::Wrong(wrong),
        };
    }
    let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
    if is("PING") {
        Command::Reply(if ready {
            "+PONG\r\n"
        } else {
            "-LOADING waiting for discovery\r\n"
        })
    } else if is("QUIT") {
        Command::Quit
    } else if is("CLIENT") || is("SELECT") {
        Command::Reply("+OK\r\n")
    } else {
        Command::Wrong("unknown command")
    }
}

/// Holds a request against what the settings know. Guards against figures that would spoil a usual
/// customer's count, and against passing on what no server takes.
fn request(
    words: &[&[u8]],
    owner: (Key, u64),
    terms: &Terms,
    directory: &Directory,
) -> Result<(Submission, u64), &'static str> {
    let r = command::request(words, terms.route_field.as_deref()).map_err(|error| error.0)?;
    let class = terms
        .classes
        .iter()
        .position(|c| c.name == r.class)
        .ok_or("unknown class")?;
    let plan = terms
        .plans
        .iter()
        .position(|p| p == r.plan)
        .ok_or("unknown plan")?;
    check_figures(words, &r, &terms.classes[class], terms)?;
    let service = match r.route {
        Some(route) => directory.service_of_route(route).ok_or("unknown route")?,
        None => directory.default_service().ok_or("route is missing")?,
    };
    let command = RequestCommand::new(words, &r);
    let ask = Submission {
        service,
        bytes: command.len(),
        owner,
        class,
        plan,
        customer: CustomerId(r.customer),
        units: r.units,
        ingress_count: r.ingress_count,
        time_left: Duration::from_secs_f64((r.wait_ms / 1000.0).min(3600.0)),
        is_retry: r.is_retry,
        command,
    };
    Ok((ask, r.id))
}

/// Are the figures of a request within what its class and the settings allow?
fn check_figures(
    words: &[&[u8]],
    r: &command::Request,
    class: &ClassTerms,
    terms: &Terms,
) -> Result<(), &'static str> {
    if class.safe != command::is_read(words[0]) {
        return Err("this class goes with the other command");
    }
    if class.keyed && r.idempotency_key.is_none() {
        return Err("k is missing");
    }
    if r.units < 1.0 || r.units > terms.units {
        return Err("units out of range");
    }
    if r.ingress_count < 1
        || r.ingress_count > terms.ingresses
        || r.first_ingress >= terms.ingresses
    {
        return Err("spread or first out of range");
    }
    if r.wait_ms <= 0.0 {
        return Err("d out of range");
    }
    Ok(())
}
