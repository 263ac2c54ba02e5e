//! Scans the framing of a caller's byte stream for heads that hyper reads as something else.
//!
//! hyper drops a Content-Length beside a Transfer-Encoding, and a fragment in the request line, before
//! the request path gets the request, so they show only in the bytes.

/// Scans the bytes of a caller in order, in parts of any size.
#[derive(Debug)]
pub(crate) struct Scanner {
    state: State,
    line: Vec<u8>,
    line_limit: usize,
    head_count: u64,
    head: Head,
    /// Whether the last head that ended has no header about a body.
    bodiless: bool,
}

/// How far a scan went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scan {
    /// Bytes scanned.
    pub(crate) length: usize,
    /// Number, counted from zero, of the first head with a defect.
    pub(crate) defect: Option<(u64, Defect)>,
}

/// What is wrong with a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// Its lengths contradict each other.
    Lengths,
    /// Its request line has a fragment, without which the path or the query is another one.
    Fragment,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// In the lines of a head.
    Head,
    /// This many bytes of a body are left.
    Body(u64),
    /// In the line with the size of a chunk.
    Size,
    /// This many bytes of a chunk and its line end are left.
    Chunk(u64),
    /// In the lines after the last chunk.
    Trailers,
    /// The framing is invalid; hyper refuses the request.
    Invalid,
}

/// What the lines of a head say about the length of its body.
#[derive(Debug, Default)]
struct Head {
    /// Whether a header was read; empty lines before a request line are skipped.
    has_lines: bool,
    /// Number of Content-Length headers.
    content_lengths: u64,
    /// Value of the last one.
    content_length: u64,
    chunked: bool,
    /// Whether the request line has a fragment.
    has_fragment: bool,
}

impl Scanner {
    pub(crate) fn new(line_limit: usize) -> Self {
        Self {
            state: State::Head,
            line: Vec::new(),
            line_limit,
            head_count: 0,
            head: Head::default(),
            bodiless: false,
        }
    }

    /// Heads that ended so far.
    pub(crate) fn heads(&self) -> u64 {
        self.head_count
    }

    /// Whether nothing follows the end of a head without a body so far. hyper needs no further byte
    /// for that request.
    pub(crate) fn is_after_bodiless(&self) -> bool {
        matches!(self.state, State::Head)
            && !self.head.has_lines
            && self.line.is_empty()
            && self.bodiless
    }

    /// How many of the next bytes belong to the body of the last head for certain; none if it has ended.
    pub(crate) fn rest_of_body(&self) -> u64 {
        match self.state {
            State::Head | State::Invalid => 0,
            State::Body(left) | State::Chunk(left) => left,
            State::Size | State::Trailers => 1,
        }
    }

    /// Scans `bytes` up to the end of the first head without a body, or all.
    pub(crate) fn scan_one(&mut self, bytes: &[u8]) -> Scan {
        self.scan_until(bytes, true)
    }

    /// Scans `bytes`. Returns the number, counted from zero, of the first head with a defect. Nothing is
    /// scanned after it, since the connection ends with the refusal of its request.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Option<(u64, Defect)> {
        self.scan_until(bytes, false).defect
    }

    fn scan_until(&mut self, all: &[u8], one: bool) -> Scan {
        let mut bytes = all;
        let mut found = None;
        while !bytes.is_empty() {
            match self.state {
                State::Body(left) => bytes = self.skip(bytes, left, State::Body, State::Head),
                State::Chunk(left) => bytes = self.skip(bytes, left, State::Chunk, State::Size),
                State::Head | State::Size | State::Trailers => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let Some(end) = end else {
                        self.buffer(bytes);
                        break;
                    };
                    let (line, rest) = bytes.split_at(end + 1);
                    bytes = rest;
                    let heads = self.head_count;
                    if let Some(defect) = self.end_line(line) {
                        found = Some((self.head_count, defect));
                        break;
                    }
                    if one && self.head_count > heads && self.bodiless {
                        return Scan {
                            length: all.len() - bytes.len(),
                            defect: found,
                        };
                    }
                }
                State::Invalid => break,
            }
        }
        Scan {
            length: all.len(),
            defect: found,
        }
    }

    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        state: fn(u64) -> State,
        next: State,
    ) -> &'a [u8] {
        let available = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let left_after = left.saturating_sub(available);
        self.state = if left_after == 0 {
            next
        } else {
            state(left_after)
        };
        let taken = usize::try_from(left.min(available)).unwrap_or(bytes.len());
        &bytes[taken..]
    }

    fn buffer(&mut self, bytes: &[u8]) {
        if self.line.len() + bytes.len() > self.line_limit {
            self.state = State::Invalid;
        } else {
            self.line.extend_from_slice(bytes);
        }
    }

    /// Processes a line that is complete with `end`. Returns the defect of the head that it ends.
    fn end_line(&mut self, end: &[u8]) -> Option<Defect> {
        if self.line.is_empty() {
            return self.process_line(trim(end));
        }
        let mut line = std::mem::take(&mut self.line);
        line.extend_from_slice(end);
        let defect = self.process_line(trim(&line));
        line.clear();
        self.line = line;
        defect
    }

    fn process_line(&mut self, line: &[u8]) -> Option<Defect> {
        match self.state {
            State::Head if line.is_empty() => {
                return self.head.has_lines.then(|| self.end_of_head()).flatten();
            }
            State::Head if !self.head.has_lines => self.head.add_request_line(line),
            State::Head => self.head.add_header(line),
            State::Size => {
                let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
                self.state = match chunk_size(size) {
                    Some(0) => State::Trailers,
                    Some(size) => State::Chunk(size.saturating_add(2)),
                    None => State::Invalid,
                };
            }
            State::Trailers if line.is_empty() => self.state = State::Head,
            State::Trailers | State::Body(_) | State::Chunk(_) | State::Invalid => {}
        }
        None
    }

    fn end_of_head(&mut self) -> Option<Defect> {
        let head = std::mem::take(&mut self.head);
        if head.content_lengths > 1 || (head.content_lengths > 0 && head.chunked) {
            self.state = State::Invalid;
            return Some(Defect::Lengths);
        }
        if head.has_fragment {
            self.state = State::Invalid;
            return Some(Defect::Fragment);
        }
        self.head_count += 1;
        self.bodiless = head.content_lengths == 0 && !head.chunked;
        if head.chunked {
            self.state = State::Size;
        } else if head.content_length > 0 {
            self.state = State::Body(head.content_length);
        }
        None
    }
}

impl Head {
    fn add_request_line(&mut self, line: &[u8]) {
        self.has_lines = true;
        // A method may contain the character.
        let mut parts = line.split(|byte| *byte == b' ').skip(1);
        self.has_fragment = parts.any(|part| part.contains(&b'#'));
    }

    fn add_header(&mut self, line: &[u8]) {
        if !matches!(line[0], b'c' | b'C' | b't' | b'T') {
            return;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let (name, value) = line.split_at(colon);
        if name.eq_ignore_ascii_case(b"content-length") {
            let text = std::str::from_utf8(&value[1..]).unwrap_or_default();
            self.content_lengths += 1;
            self.content_length = text.trim().parse().unwrap_or(0);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        }
    }
}

fn trim(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn chunk_size(digits: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(digits).ok()?;
    u64::from_str_radix(text.trim(), 16).ok()
}
