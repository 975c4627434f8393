//! Parses client commands, and checks the arguments of requests against the platform's settings.

use crate::protocol::command::{self, InvalidCommand, RequestCommand};
use crate::routing::engine::{CommandId, Submission};
use roseyard_decision::{CustomerId, Idempotency, RequestClass, Settings};
use roseyard_platform_config::PlatformSettings;
use roseyard_request_engine::Directory;
use std::time::Duration;

/// Longest time that a client may wait for a response; longer waits are reduced to it.
const MAX_WAIT_SECONDS: f64 = 3600.0;

/// The classes and plans that a request may name, and the ranges of its arguments. The decision
/// crate identifies a class or plan by its index here.
pub struct RequestSchema {
    /// Request classes, in the order of the settings.
    pub classes: Vec<ClassSchema>,
    /// Names of the plans, in the order of the settings.
    pub plans: Vec<String>,
    /// The number of ingresses in the tier, at least 1.
    pub tier_ingress_count: u32,
    /// The most quota units that a request may have.
    pub max_units: f64,
    /// Name of the field that carries the route; `None` if requests have no route.
    pub route_field: Option<String>,
}

/// Requirements of a class that its requests are checked against.
pub struct ClassSchema {
    /// Name of the class, as requests give it.
    pub name: String,
    /// Whether the class is idempotent. Requests of idempotent classes use `API.READ`, others
    /// `API.WRITE`.
    pub is_idempotent: bool,
    /// Whether its requests must carry an idempotency key, argument `k`.
    pub has_idempotency_key: bool,
}

impl RequestSchema {
    /// Builds the schema from the platform's settings.
    #[must_use]
    pub fn new(
        platform: &PlatformSettings,
        settings: &Settings,
        max_units: f64,
        route_field: Option<&str>,
    ) -> RequestSchema {
        let class_schema = |(name, class): (&str, &RequestClass)| ClassSchema {
            name: name.to_owned(),
            is_idempotent: class.idempotency == Idempotency::Idempotent,
            has_idempotency_key: matches!(class.idempotency, Idempotency::IdempotencyKey { .. }),
        };
        let class_names = platform.class_names().into_iter();
        let plan_names = platform.plan_names().into_iter();
        RequestSchema {
            classes: class_names
                .zip(&settings.classes)
                .map(class_schema)
                .collect(),
            plans: plan_names.map(str::to_owned).collect(),
            tier_ingress_count: settings.ingress_count.max(1),
            max_units,
            route_field: route_field.map(str::to_owned),
        }
    }
}

/// A parsed client command.
pub(super) enum Command {
    /// A request for an endpoint, `API.READ` or `API.WRITE`.
    Request {
        /// The request in the form that the driver takes.
        submission: Submission,
        /// The request id that the client chose.
        id: u64,
    },
    /// A command that is answered at once with this encoded reply.
    Reply(&'static str),
    /// A well-formed command that cannot be executed, with the error text. The connection stays
    /// open.
    Invalid(&'static str),
    /// `QUIT`: the connection is closed after its replies.
    Quit,
}

/// Parses a command from its arguments, the first of which is its name.
pub(super) fn parse(
    arguments: &[&[u8]],
    id: CommandId,
    schema: &RequestSchema,
    directory: &Directory,
    is_ready: bool,
) -> Command {
    let Some(name) = arguments.first() else {
        return Command::Invalid("empty command");
    };
    if command::is_request_command(name) {
        return parse_request(arguments, id, schema, directory).unwrap_or_else(Command::Invalid);
    }
    let is_command = |expected_name: &str| name.eq_ignore_ascii_case(expected_name.as_bytes());
    if is_command("PING") {
        Command::Reply(if is_ready {
            "+PONG\r\n"
        } else {
            "-LOADING waiting for discovery\r\n"
        })
    } else if is_command("QUIT") {
        Command::Quit
    } else if is_command("CLIENT") || is_command("SELECT") {
        Command::Reply("+OK\r\n")
    } else {
        Command::Invalid("unknown command")
    }
}

/// Parses a request and checks it against the schema. The checks keep out arguments that would
/// distort the quotas of other customers, and requests that no endpoint accepts.
fn parse_request(
    arguments: &[&[u8]],
    owner: CommandId,
    schema: &RequestSchema,
    directory: &Directory,
) -> Result<Command, &'static str> {
    let request = command::decode_request(arguments, schema.route_field.as_deref())
        .map_err(|InvalidCommand(error)| error)?;
    let mut classes = schema.classes.iter();
    let class = classes
        .position(|class| class.name == request.class)
        .ok_or("unknown class")?;
    let mut plans = schema.plans.iter();
    let plan = plans
        .position(|plan| plan == request.plan)
        .ok_or("unknown plan")?;
    check_arguments(arguments, &request, &schema.classes[class], schema)?;
    let service = match request.route {
        Some(route) => directory.service_of_route(route).ok_or("unknown route")?,
        None => directory.default_service().ok_or("route is missing")?,
    };
    let command = RequestCommand::new(arguments, &request);
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

/// Checks that the arguments of a request are within the ranges of its class and of the settings.
fn check_arguments(
    arguments: &[&[u8]],
    request: &command::Request,
    class: &ClassSchema,
    schema: &RequestSchema,
) -> Result<(), &'static str> {
    let tier_ingress_count = schema.tier_ingress_count;
    if class.is_idempotent != command::is_read_command(arguments[0]) {
        return Err("this class goes with the other command");
    }
    if class.has_idempotency_key && request.idempotency_key.is_none() {
        return Err("k is missing");
    }
    if request.units < 1.0 || request.units > schema.max_units {
        return Err("units out of range");
    }
    if request.ingress_count < 1
        || request.ingress_count > tier_ingress_count
        || request.first_ingress >= tier_ingress_count
    {
        return Err("spread or first out of range");
    }
    if request.wait_ms <= 0.0 {
        return Err("d out of range");
    }
    Ok(())
}
