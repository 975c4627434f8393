//! A pool of client connections. Each connection carries one request at a time.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};

/// The first line of a response that comes directly from a form server instead of an ingress: an
/// array of the value and two null fields.
const FORM_SERVER_RESPONSE_HEADER: &str = "*3";

/// The outcome of one request at the client.
#[derive(Clone, Copy)]
pub(crate) enum Reply {
    /// The response contains the request's own value.
    Served,
    /// The response is `-BUSY`.
    Rejected,
    /// The response is another error or contains another value.
    Failed,
    /// There is no response: connecting failed, the connection ended, or the request timed out.
    Missing,
}

/// An encoded request.
pub(crate) struct ClientRequest {
    /// The source address of a new connection.
    pub source: Ipv4Addr,
    /// The request's id, which the response has to return as its value.
    pub id: u64,
    /// The encoded request.
    pub bytes: Vec<u8>,
    /// Whether the connection is closed after the response.
    pub close_after: bool,
}

type Connection = BufReader<TcpStream>;

/// A pool of idle connections to one address.
pub(crate) struct ConnectionPool {
    destination: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

/// Opens a connection from the given loopback address.
pub(crate) async fn connect(source: Ipv4Addr, destination: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(IpAddr::V4(source), 0))?;
    let stream = socket.connect(destination).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

impl ConnectionPool {
    /// Returns an empty pool.
    pub(crate) fn new(destination: SocketAddr) -> ConnectionPool {
        ConnectionPool {
            destination,
            idle: Mutex::default(),
        }
    }

    fn take(&self) -> Option<Connection> {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop()
    }

    fn put_back(&self, connection: Connection) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(connection);
    }

    /// Sends one request and waits for the response, without a timeout. If a reused connection has
    /// ended, the request is sent on another one, as the protocol allows; if a new connection ends,
    /// the reply is [`Reply::Missing`].
    pub(crate) async fn request(&self, request: &ClientRequest) -> Reply {
        loop {
            let pooled = self.take();
            let reused = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => match connect(request.source, self.destination).await {
                    Ok(stream) => BufReader::new(stream),
                    Err(_) => return Reply::Missing,
                },
            };
            match exchange(&mut connection, request).await {
                Ok(reply) => {
                    if !request.close_after {
                        self.put_back(connection);
                    }
                    return reply;
                }
                Err(_) if reused => {}
                Err(_) => return Reply::Missing,
            }
        }
    }
}

/// Sends one request on the connection and reads its response. Fails if the connection ends.
async fn exchange(connection: &mut Connection, request: &ClientRequest) -> io::Result<Reply> {
    connection.get_mut().write_all(&request.bytes).await?;
    let mut line = String::new();
    if connection.read_line(&mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.trim_end() == FORM_SERVER_RESPONSE_HEADER {
        return read_form_server_response(connection, request).await;
    }
    if line.starts_with("-BUSY") {
        return Ok(Reply::Rejected);
    }
    let Some(length) = line
        .strip_prefix('$')
        .and_then(|digits| digits.trim().parse::<usize>().ok())
    else {
        return Ok(Reply::Failed);
    };
    let mut value = vec![0; length + 2];
    connection.read_exact(&mut value).await?;
    let expected = format!("{:016x}", request.id);
    let is_own_value = value.strip_suffix(b"\r\n") == Some(expected.as_bytes());
    Ok(served_if(is_own_value))
}

/// Reads the fields of a response that comes directly from a form server.
async fn read_form_server_response(
    connection: &mut Connection,
    request: &ClientRequest,
) -> io::Result<Reply> {
    let expected = format!("$16\r\n{:016x}\r\n$-1\r\n$-1\r\n", request.id);
    let mut fields = vec![0; expected.len()];
    connection.read_exact(&mut fields).await?;
    Ok(served_if(fields == expected.as_bytes()))
}

fn served_if(is_own_value: bool) -> Reply {
    if is_own_value {
        Reply::Served
    } else {
        Reply::Failed
    }
}
