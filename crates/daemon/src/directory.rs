//! Tells callers which addresses to use.

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;

use crate::query::Client;
use crate::query::Question;

struct Addresses {
    client: Client,
}

#[async_trait]
impl Handler for Addresses {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let service = request.query::<String>("service").unwrap_or_default();
        let answer = self.client.ask(Question::Addresses(service.into())).await;
        answer.render(response);
    }
}

pub(crate) fn router(client: Client) -> Router {
    Router::with_path("v1/addresses").get(Addresses { client })
}
