//! A client's connections: one request on a connection that is idle in the pool, or on a new one.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};

/// The first line of a form server's own response, for clients without an ingress: an array of the
/// value and two empty fields.
const FORM_SERVER_RESPONSE: &str = "*3";

/// What became of one request.
#[derive(Clone, Copy)]
pub(crate) enum Reply {
    /// A response with its own value.
    Served,
    /// Rejected.
    Rejected,
    /// Any other response.
    Failed,
    /// The connection ended, there was none, or the time was over.
    Missing,
}

/// One request as it is sent.
pub(crate) struct ClientRequest {
    /// The address that a new connection comes from.
    pub source: Ipv4Addr,
    /// Its id, which is the value that it expects.
    pub id: u64,
    /// The encoded request.
    pub bytes: Vec<u8>,
    /// Is the connection closed after it?
    pub close_after: bool,
}

type Connection = BufReader<TcpStream>;

/// Idle connections to one address.
pub(crate) struct ConnectionPool {
    destination: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

/// Opens a connection from an address of loopback.
pub(crate) async fn connect(source: Ipv4Addr, destination: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(IpAddr::V4(source), 0))?;
    let stream = socket.connect(destination).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

impl ConnectionPool {
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

    /// Sends one request. A reused connection that has ended is replaced, as the protocol has it; a
    /// new one that ends is a missing reply.
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

/// Sends one request and reads its response.
async fn exchange(connection: &mut Connection, request: &ClientRequest) -> io::Result<Reply> {
    connection.get_mut().write_all(&request.bytes).await?;
    let mut line = String::new();
    if connection.read_line(&mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.trim_end() == FORM_SERVER_RESPONSE {
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

/// Reads the fields of a form server's own response.
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
