//! Names that hold characters which mean something in a URL.

mod support;

use cloverpier_client::OperatorError;
use support::Site;

/// Guards against a plan that is shown or confirmed in the place of another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_plan_is_found_under_its_whole_name_alone() {
    let site = Site::start().await;
    let planned = site.operator(0).plan(&site.intent()).await.unwrap();
    let name = planned.id.as_str();
    assert!(site.operator(0).show(name).await.is_ok());
    for odd in ["#b", "?after=0", "%23b", "%3Fafter=0"].map(|end| format!("{name}{end}")) {
        let shown = site.operator(0).show(&odd).await;
        let is_unknown = matches!(shown, Err(OperatorError::Refused { status: 404, .. }));
        assert!(is_unknown, "{odd}: {shown:?}");
        let confirmed = site.operator(0).confirm(&odd).await;
        let is_unknown = matches!(confirmed, Err(OperatorError::Refused { status: 404, .. }));
        assert!(is_unknown, "{odd}: {confirmed:?}");
    }
}
