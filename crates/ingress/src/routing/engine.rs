//! The request engine with this program's types.

use crate::protocol::command::RequestCommand;
use crate::transport::Key;
use roseyard_request_engine::RequestEngine;

/// A client's command: the connection, and the command's number on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandId {
    /// The client's connection.
    pub client: Key,
    /// Number of the command on the connection, from 0.
    pub number: u64,
}

/// The engine as the ingress uses it.
pub type IngressEngine = RequestEngine<CommandId, RequestCommand, Vec<u8>>;
/// A request as the frontend submits it.
pub type Submission = roseyard_request_engine::Submission<CommandId, RequestCommand>;
/// A final response.
pub type Response = roseyard_request_engine::Response<Vec<u8>>;

/// The final response to a command.
#[derive(Clone, Debug)]
pub struct CommandResponse {
    /// The command.
    pub command: CommandId,
    /// Its response.
    pub response: Response,
}
