//! Form servers: each request takes the same time and is answered with its own id.

use crate::record::Record;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Starts a form server that takes `work` for a request.
pub fn start(name: String, work: Duration, record: Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record) = (name.clone(), record.clone());
            thread::spawn(move || serve(stream, &name, work, &record));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, name: &str, work: Duration, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(words) = read_command(&mut reader)? {
        match words[0].as_str() {
            "API.READ" | "API.WRITE" if words.len() >= 4 => {
                let id = &words[2];
                record.line(&format!("{name}: runs {id} {}", words[3]));
                thread::sleep(work);
                let value = format!("value of {id}");
                let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
                stream.write_all(answer.as_bytes())?;
                record.line(&format!("{name}: answered {id}"));
            }
            "PING" => stream.write_all(b"+PONG\r\n")?,
            "INFO" => stream.write_all(b"$9\r\nutil=0.30\r\n")?,
            "CLIENT" | "SELECT" => stream.write_all(b"+OK\r\n")?,
            _ => stream.write_all(b"-ERR unknown command\r\n")?,
        }
    }
    Ok(())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads an array of bulk strings; `None` at the end of the connection.
fn read_command(reader: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let Some(head) = read_line(reader)? else {
        return Ok(None);
    };
    let count: usize = head.get(1..).and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut words = Vec::new();
    for _ in 0..count {
        let Some(head) = read_line(reader)? else {
            return Ok(None);
        };
        let length: usize = head.get(1..).and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes)?;
        bytes.truncate(length);
        words.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    Ok((!words.is_empty()).then_some(words))
}
