//! HTTP pages whose answers come from the event loop that owns the state.

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;

use crate::query::Client;
use crate::query::Question;

/// Reads the question of a page from a request.
pub(crate) type Read = fn(&Request) -> Question;

/// One page.
struct Page {
    client: Client,
    question: Read,
}

#[async_trait]
impl Handler for Page {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let question = (self.question)(request);
        self.client.ask(question).await.render(response);
    }
}

/// A router that answers GET requests for `path`.
pub(crate) fn router(client: &Client, path: &str, question: Read) -> Router {
    let page = Page {
        client: client.clone(),
        question,
    };
    Router::with_path(path).get(page)
}
