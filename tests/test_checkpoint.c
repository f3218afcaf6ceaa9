/* test_checkpoint.c: what outlives a loss of all instances: the services with
   one version, and the streams that are open. */
#include <criterion/criterion.h>

#include "route/checkpoint.h"
#include "route/originlog.h"
#include "store/revision.h"

enum { ENGINE = 11, DESK = 12, V1 = 21, V2 = 22, ROUTES = 31, OTHERS = 32 };

static Checkpoint *checkpoint_of_two(void) {
  CheckpointPosition at = {100, 90};
  Checkpoint *c = checkpoint_new(&at);
  checkpoint_add(c, ENGINE, V1, ROUTES);
  checkpoint_add(c, DESK, V2, ROUTES);
  return c;
}

static bool finds(const Checkpoint *c, uint64_t service, uint64_t version) {
  uint64_t found = 0;
  return checkpoint_find(c, service, ROUTES, &found) && found == version;
}

/* == checkpoints == */

Test(checkpoint, a_service_with_one_version_is_found_by_its_routes) {
  Checkpoint *c = checkpoint_of_two();
  uint64_t version;
  cr_assert(finds(c, ENGINE, V1));
  cr_assert(finds(c, DESK, V2));
  cr_assert_not(checkpoint_find(c, ENGINE, OTHERS, &version));
  cr_assert_not(checkpoint_find(c, 13, ROUTES, &version));
  checkpoint_free(c);
}

/* Guards against a stream that goes on at the version that served before and
   after the one that began it. */
Test(checkpoint, a_version_that_came_since_drops_its_service) {
  Checkpoint *c = checkpoint_of_two();
  checkpoint_apply_target(c, ENGINE, V1);
  cr_assert(finds(c, ENGINE, V1));
  checkpoint_apply_target(c, ENGINE, V2);
  checkpoint_apply_target(c, ENGINE, V1);
  cr_assert_not(finds(c, ENGINE, V1));
  cr_assert(finds(c, DESK, V2));
  checkpoint_free(c);
}

static void give_others(void *ctx, uint64_t service) {
  checkpoint_apply_routes(ctx, service, service == DESK ? OTHERS : ROUTES);
}

/* Guards against a stream that began at another service, to which a
   configuration led its route for a while. */
Test(checkpoint, routes_that_changed_since_drop_their_service) {
  Checkpoint *c = checkpoint_of_two();
  checkpoint_for_each(c, give_others, c);
  cr_assert(finds(c, ENGINE, V1));
  cr_assert_not(finds(c, DESK, V2));
  checkpoint_free(c);
}

Test(checkpoint, a_position_never_goes_back) {
  Checkpoint *c = checkpoint_of_two();
  CheckpointPosition at = {revision_make(1, 5), 80};
  checkpoint_advance(c, &at);
  cr_assert_eq(checkpoint_position(c).targets, revision_make(1, 5));
  cr_assert_eq(checkpoint_position(c).conf, 90);
  checkpoint_free(c);
}

Test(checkpoint, a_damaged_one_is_not_read) {
  static const char *const texts[] = {
      "[]",
      "{}",
      "{\"targets\":0,\"conf\":1,\"services\":[]}",
      "{\"targets\":1,\"conf\":-1,\"services\":[]}",
      "{\"targets\":1,\"conf\":1,\"services\":{}}",
      "{\"targets\":1,\"conf\":1,\"services\":[[\"1\",\"2\",\"3\"]]}",
      "{\"targets\":1,\"conf\":1,\"services\":[[1,2,3]]}",
      "{\"targets\":1,\"conf\":1,\"services\":[[\"00000000000000aa\"]]}"};
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++) {
    json_t *o = json_loads(texts[i], 0, NULL);
    cr_assert_null(checkpoint_read(o), "%s", texts[i]);
    json_decref(o);
  }
}

/* == logs == */

static OriginsMsg record_of(uint64_t key, uint64_t version) {
  return (OriginsMsg){.kind = ORIGINS_RECORD,
                      .key = key,
                      .service = ENGINE,
                      .version = version};
}

typedef struct Found {
  uint64_t key, version;
  int n;
} Found;

static void find_key(void *ctx, const OriginsMsg *record) {
  Found *f = ctx;
  if (record->key != f->key) return;
  f->version = record->version;
  f->n++;
}

static Found find_written(OriginLog *l, uint64_t key) {
  Found f = {.key = key};
  json_t *content = originlog_write(l);
  cr_assert(originlog_read(content, find_key, &f));
  json_decref(content);
  return f;
}

/* Guards against open streams that are lost with the instance that began them.
 */
Test(originlog, open_streams_are_written_with_their_versions) {
  OriginLog *l = originlog_new();
  OriginsMsg a = record_of(1, V1), b = record_of(UINT64_MAX, V2);
  cr_assert_not(originlog_is_dirty(l));
  originlog_add(l, 0, &a);
  originlog_add(l, 1, &b);
  cr_assert(originlog_is_dirty(l));
  cr_assert_eq(find_written(l, 1).version, V1);
  cr_assert_eq(find_written(l, UINT64_MAX).version, V2);
  cr_assert_not(originlog_is_dirty(l));
  originlog_fail(l);
  cr_assert(originlog_is_dirty(l), "the write failed");
  originlog_free(l);
}

/* Guards against a log that grows, or is written, for streams that have ended.
 */
Test(originlog, streams_that_ended_are_not_written) {
  OriginLog *l = originlog_new();
  OriginsMsg a = record_of(1, V1), b = record_of(2, V1);
  originlog_add(l, 0, &a);
  originlog_add(l, 10, &b);
  find_written(l, 1);
  originlog_remove(l, 2);
  cr_assert_not(originlog_is_dirty(l));
  cr_assert_eq(find_written(l, 2).n, 0);
  originlog_sweep(l, 31, 30);
  cr_assert_eq(find_written(l, 1).n, 0);
  originlog_free(l);
}

Test(originlog, a_damaged_row_leaves_the_others) {
  Found f = {.key = 1};
  json_t *o = json_loads(
      "{\"streams\":[3,[\"x\"],"
      "[\"000000000000000b\",\"0000000000000015\",\"000\"],"
      "[\"000000000000000b\",\"0000000000000015\",\"0000000000000001\"]]}",
      0, NULL);
  cr_assert_not(originlog_read(o, find_key, &f));
  cr_assert_eq(f.n, 1);
  json_decref(o);
}
