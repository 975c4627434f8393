//! The request engine, instantiated with the types of the ingress.

use crate::protocol::command::RequestCommand;
use crate::transport::Key;
use roseyard_request_engine::RequestEngine;

/// Identifies a client's command by its connection and its sequence number on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandId {
    /// The client's connection.
    pub client: Key,
    /// Sequence number of the command on the connection, from 0.
    pub number: u64,
}

/// The request engine: requests are owned by client commands, and values are bytes.
pub type IngressEngine = RequestEngine<CommandId, RequestCommand, Vec<u8>>;
/// A request that the frontend submits to the engine.
pub type Submission = roseyard_request_engine::Submission<CommandId, RequestCommand>;
/// The final response to a request.
pub type Response = roseyard_request_engine::Response<Vec<u8>>;

/// The final response to a command, as the driver returns it to the frontend.
#[derive(Clone, Debug)]
pub struct CommandResponse {
    /// The command that the response answers.
    pub command: CommandId,
    /// The final response.
    pub response: Response,
}
