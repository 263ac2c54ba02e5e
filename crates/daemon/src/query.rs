//! Questions that salvo handlers ask the loop that owns the state.

use salvo::Response;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::writing::Text;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// A question of an HTTP handler with the channel for its answer.
pub(crate) struct Query {
    pub(crate) question: Question,
    pub(crate) reply: oneshot::Sender<Answer>,
}

/// What a handler may ask.
#[derive(Debug)]
pub(crate) enum Question {
    /// Which addresses may a caller of the service use?
    Addresses(Box<str>),
    /// Which addresses may a caller of the platform use, by its query?
    Homes(Box<str>),
    /// Does the loop answer?
    Health,
    /// Does this VM serve callers on a fresh view?
    Readiness,
    /// Which counters, gauges and histograms are there?
    Metrics,
    /// How is this VM?
    Status,
    /// Which keys does it know?
    Catalogue,
    /// What is in effect for the entry, and why?
    Entry(Box<str>),
    /// Why does the target of the service get work, or not?
    Target(Box<str>, Box<str>),
    /// What is known of the VM?
    Vm(Box<str>),
    /// Who belongs to the fleet?
    Fleet,
    /// Which changes were there?
    Audit(Filter),
}

/// Which audit records to return.
#[derive(Debug, Default)]
pub(crate) struct Filter {
    pub(crate) subject: Option<Box<str>>,
    pub(crate) kind: Option<Box<str>>,
    pub(crate) after: Option<Box<str>>,
    pub(crate) limit: usize,
}

/// An answer with its HTTP status.
pub(crate) struct Answer {
    status: StatusCode,
    body: Body,
}

enum Body {
    Json(Value),
    Text(Box<str>),
}

impl Answer {
    /// An answer with status 200.
    pub(crate) fn ok(body: Value) -> Self {
        Self {
            status: StatusCode::OK,
            body: Body::Json(body),
        }
    }

    /// A text with status 200.
    pub(crate) fn text(text: Box<str>) -> Self {
        Self {
            status: StatusCode::OK,
            body: Body::Text(text),
        }
    }

    /// An answer with status 404.
    pub(crate) fn unknown(what: &str) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            body: Body::Json(json!({ "error": what })),
        }
    }

    /// An answer with status 503.
    pub(crate) fn unavailable(body: Value) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            body: Body::Json(body),
        }
    }

    /// Writes the answer.
    pub(crate) fn render(self, response: &mut Response) {
        response.status_code(self.status);
        match self.body {
            Body::Json(body) => response.render(Json(body)),
            Body::Text(text) => response.render(Text::Plain(String::from(text))),
        }
    }
}

/// Sends questions to the loop.
#[derive(Clone)]
pub(crate) struct Client {
    queries: mpsc::Sender<Query>,
}

impl Client {
    pub(crate) fn new(queries: mpsc::Sender<Query>) -> Self {
        Self { queries }
    }

    /// The loop's answer; status 503 while the process is stopping.
    pub(crate) async fn ask(&self, question: Question) -> Answer {
        let (reply, answer) = oneshot::channel();
        let query = Query { question, reply };
        let sent = self.queries.send(query).await;
        let stopping = || Answer::unavailable(json!({ "error": "the process is stopping" }));
        match sent {
            Ok(()) => answer.await.unwrap_or_else(|_| stopping()),
            Err(_) => stopping(),
        }
    }
}
