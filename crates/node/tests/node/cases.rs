/// Names each case and the failure that it guards against.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident $body:block)*) => {
        $(
            $(#[$meta])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() $body
        )*
    };
}
