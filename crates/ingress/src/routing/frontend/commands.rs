//! Commands of the platform's protocol: what a request may name, and what a client's words mean.

use crate::protocol::command::{self, InvalidCommand, RequestCommand};
use crate::routing::engine::{CommandId, Submission};
use roseyard_decision::{CustomerId, Idempotency, RequestClass, Settings};
use roseyard_platform_config::PlatformSettings;
use roseyard_request_engine::Directory;
use std::time::Duration;

/// A client's wait is taken as at most this, in seconds.
const MAX_WAIT_SECONDS: f64 = 3600.0;

/// What a request may name, by the index that decisions know it by, and the range of its figures.
pub struct RequestSchema {
    /// Classes.
    pub classes: Vec<ClassSchema>,
    /// Names of plans.
    pub plans: Vec<String>,
    /// Ingresses of the tier.
    pub ingresses: u32,
    /// Most quota units of a request.
    pub max_units: f64,
    /// Name of the field that carries a request's route; none: requests have no route.
    pub route_field: Option<String>,
}

/// What a class requires of its requests.
pub struct ClassSchema {
    /// Its name.
    pub name: String,
    /// It is idempotent, and comes with `API.READ`.
    pub is_idempotent: bool,
    /// It carries an idempotency key.
    pub has_idempotency_key: bool,
}

impl RequestSchema {
    /// The schema under these settings.
    #[must_use]
    pub fn new(
        platform: &PlatformSettings,
        settings: &Settings,
        max_units: f64,
        route_field: Option<&str>,
    ) -> RequestSchema {
        let class = |(name, class): (&str, &RequestClass)| ClassSchema {
            name: name.to_owned(),
            is_idempotent: class.idempotency == Idempotency::Idempotent,
            has_idempotency_key: matches!(class.idempotency, Idempotency::IdempotencyKey { .. }),
        };
        let class_names = platform.class_names().into_iter();
        let plan_names = platform.plan_names().into_iter();
        RequestSchema {
            classes: class_names.zip(&settings.classes).map(class).collect(),
            plans: plan_names.map(str::to_owned).collect(),
            ingresses: settings.ingress_count.max(1),
            max_units,
            route_field: route_field.map(str::to_owned),
        }
    }
}

/// A command, as a client may send it.
pub(super) enum Command {
    /// A request.
    Request {
        /// The request.
        submission: Submission,
        /// Its id, as the client gave it.
        id: u64,
    },
    /// Answered at once with this text.
    Reply(&'static str),
    /// It cannot be executed, for this reason; what follows can still be parsed.
    Invalid(&'static str),
    /// The client ends the connection.
    Quit,
}

/// Parses the words of a command.
pub(super) fn parse(
    words: &[&[u8]],
    id: CommandId,
    schema: &RequestSchema,
    directory: &Directory,
    is_ready: bool,
) -> Command {
    let Some(name) = words.first() else {
        return Command::Invalid("empty command");
    };
    if command::is_request(name) {
        return parse_request(words, id, schema, directory).unwrap_or_else(Command::Invalid);
    }
    let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
    if is("PING") {
        Command::Reply(if is_ready {
            "+PONG\r\n"
        } else {
            "-LOADING waiting for discovery\r\n"
        })
    } else if is("QUIT") {
        Command::Quit
    } else if is("CLIENT") || is("SELECT") {
        Command::Reply("+OK\r\n")
    } else {
        Command::Invalid("unknown command")
    }
}

/// Parses a request by the schema. Prevents figures that would falsify another customer's quota,
/// and requests that no endpoint takes.
fn parse_request(
    words: &[&[u8]],
    owner: CommandId,
    schema: &RequestSchema,
    directory: &Directory,
) -> Result<Command, &'static str> {
    let request = command::request(words, schema.route_field.as_deref())
        .map_err(|InvalidCommand(error)| error)?;
    let mut classes = schema.classes.iter();
    let class = classes
        .position(|class| class.name == request.class)
        .ok_or("unknown class")?;
    let mut plans = schema.plans.iter();
    let plan = plans
        .position(|plan| plan == request.plan)
        .ok_or("unknown plan")?;
    check_figures(words, &request, &schema.classes[class], schema)?;
    let service = match request.route {
        Some(route) => directory.service_of_route(route).ok_or("unknown route")?,
        None => directory.default_service().ok_or("route is missing")?,
    };
    let command = RequestCommand::new(words, &request);
    let wait_seconds = (request.wait_ms / 1000.0).min(MAX_WAIT_SECONDS);
    let submission = Submission {
        service,
        bytes: command.len(),
        owner,
        class,
        plan,
        customer: CustomerId(request.customer),
        units: request.units,
        ingress_count: request.ingress_count,
        time_left: Duration::from_secs_f64(wait_seconds),
        is_retry: request.is_retry,
        command,
    };
    Ok(Command::Request {
        submission,
        id: request.id,
    })
}

/// Are the figures of a request within what its class and the settings allow?
fn check_figures(
    words: &[&[u8]],
    request: &command::Request,
    class: &ClassSchema,
    schema: &RequestSchema,
) -> Result<(), &'static str> {
    let ingresses = schema.ingresses;
    if class.is_idempotent != command::is_read(words[0]) {
        return Err("this class goes with the other command");
    }
    if class.has_idempotency_key && request.idempotency_key.is_none() {
        return Err("k is missing");
    }
    if request.units < 1.0 || request.units > schema.max_units {
        return Err("units out of range");
    }
    if request.ingress_count < 1
        || request.ingress_count > ingresses
        || request.first_ingress >= ingresses
    {
        return Err("spread or first out of range");
    }
    if request.wait_ms <= 0.0 {
        return Err("d out of range");
    }
    Ok(())
}
