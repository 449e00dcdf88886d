//! A small HTTP/1.1 client and server, as far as the cases need them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response: its start line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a `Content-Length`; `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        match line.split_once(':') {
            Some((name, value)) if !message.start.is_empty() => {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_string()));
            }
            _ => message.start = line.to_string(),
        }
    }
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(message))
}

/// Sends one request on a new connection, and returns the response.
pub fn call(
    to: SocketAddr,
    method_and_target: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> std::io::Result<Message> {
    let started_at = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    let left = limit.saturating_sub(started_at.elapsed());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut request = format!(
        "{method_and_target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if headers.iter().all(|(name, _)| *name != "Host") {
        request.push_str(&format!("Host: {to}\r\n"));
    }
    request.push_str("\r\n");
    request.push_str(body);
    stream.write_all(request.as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// Answers each request on each connection with the whole response that `answer` returns.
pub fn serve(listener: TcpListener, answer: impl Fn(&Message) -> String + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    if writer.write_all(answer(&request).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
