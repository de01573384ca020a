#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

static json_t *change_json(const struct doc_change *change)
{
	json_t *names = json_array();
	char when[32];

	for (uint32_t i = 0; i < change->name_count; i++)
		json_array_append_new(names, json_string(change->names[i]));
	ctl_format_time(change->wall_ms, when);
	return json_pack("{s:I, s:s, s:s, s:i, s:o}", "revision",
			 (json_int_t)change->revision, "author", change->author,
			 "time", when, "section_count",
			 (int)change->section_count, "sections", names);
}

/* Returns the changes after revision base, the oldest first. */
static json_t *changes_json(const struct doc_head *head, uint64_t base)
{
	json_t *list = json_array();

	for (uint32_t i = head->recent_count; i-- > 0;) {
		if (head->recent[i].revision > base)
			json_array_append_new(list,
					      change_json(&head->recent[i]));
	}
	return list;
}

static void print_change(const struct doc_change *change)
{
	char when[32];
	struct buf names;

	buf_init(&names);
	for (uint32_t i = 0; i < change->name_count; i++)
		buf_addf(&names, "%s%s", i ? ", " : "", change->names[i]);
	if (change->section_count > change->name_count)
		buf_addf(&names, " and %u more",
			 change->section_count - change->name_count);
	ctl_format_time(change->wall_ms, when);
	ctl_error("  revision %llu by %s at %s: %s",
		  (unsigned long long)change->revision, change->author, when,
		  buf_text(&names));
	buf_finish(&names);
}

static void print_changes(const struct doc_head *head, uint64_t base)
{
	uint64_t oldest = head->revision + 1;

	if (head->recent_count)
		oldest = head->recent[head->recent_count - 1].revision;
	if (!doc_head_lists_all_since(head, base))
		ctl_error("  %llu earlier changes are no longer listed",
			  (unsigned long long)(oldest - base - 1));
	for (uint32_t i = head->recent_count; i-- > 0;) {
		if (head->recent[i].revision > base)
			print_change(&head->recent[i]);
	}
}

static void report_failure(const struct ctl *c, const struct ctl_doc *base,
			   const struct ctl_commit *commit)
{
	uint64_t revision = base->head.revision;

	if (c->json) {
		ctl_print_json(json_pack(
			"{s:s, s:I, s:s, s:o}", "result", commit->result,
			"base_revision", (json_int_t)revision, "attempt",
			commit->attempt, "first",
			changes_json(&commit->current_head, revision)));
		return;
	}
	if (commit->exit == CTL_RACE) {
		ctl_error("not written: the change was made for revision "
			  "%llu, these came first:",
			  (unsigned long long)revision);
		print_changes(&commit->current_head, revision);
	} else if (commit->exit == CTL_FAILED &&
		   commit->current_head.revision) {
		ctl_error("result not known: no answer to attempt %s, and "
			  "doc/head no longer lists the change after "
			  "revision %llu; compare with \"mpinctl diff\"",
			  commit->attempt, (unsigned long long)revision);
		print_changes(&commit->current_head, revision);
	} else if (!strcmp(commit->result, "not_written")) {
		ctl_error("not written: the store at %s cannot be reached",
			  c->endpoint);
	} else if (commit->exit == CTL_UNREACHABLE) {
		ctl_error("result not known: the store at %s does not "
			  "answer; attempt %s may take effect, the same "
			  "command is safe to repeat",
			  c->endpoint, commit->attempt);
	} else {
		ctl_error("not written: %s", commit->result);
	}
}

static void print_from_copy(const struct ctl_doc *base)
{
	char newer[64] = "";

	if (base->in_force > base->head.revision)
		snprintf(newer, sizeof(newer), "; revision %llu was in force",
			 (unsigned long long)base->in_force);
	ctl_error("the store was restored from a copy: the change was made to "
		  "revision %llu, which lacks changes since the copy%s; "
		  "compare with \"mpinctl diff\"",
		  (unsigned long long)base->head.revision, newer);
}

static void print_pending(const struct ctl_commit *commit, int wait_ms,
			  const json_t *missing)
{
	size_t i;
	json_t *entry;

	ctl_error("revision %llu is accepted but not in force everywhere "
		  "after %d s; missing:",
		  (unsigned long long)commit->revision, wait_ms / 1000);
	json_array_foreach((json_t *)missing, i, entry) {
		ctl_error("  %s", json_string_value(entry));
	}
}

static void report_success(const struct ctl *c, const struct ctl_doc *base,
			   const struct ctl_commit *commit,
			   enum ctl_exit result, json_t *missing)
{
	int from_copy =
		base->from_copy && strcmp(commit->result, "no_change") != 0;
	const char *state = result == CTL_PENDING ? "pending" : "in_force";
	unsigned long long revision = commit->revision;

	if (!c->wait_ms)
		state = "not_awaited";
	if (c->json) {
		json_t *report =
			json_pack("{s:s, s:s, s:I, s:s, s:O}", "result",
				  commit->result, "state", state, "revision",
				  (json_int_t)commit->revision, "attempt",
				  commit->attempt, "missing", missing);

		if (from_copy)
			json_object_set_new(
				report, "changed_copy_of_revision",
				json_integer((json_int_t)base->head.revision));
		ctl_print_json(report);
		return;
	}
	if (!strcmp(commit->result, "no_change"))
		printf("no change: the document is at revision %llu\n",
		       revision);
	else
		printf("accepted: revision %llu\n", revision);
	if (from_copy)
		print_from_copy(base);
	if (result == CTL_PENDING)
		print_pending(commit, c->wait_ms, missing);
	else if (c->wait_ms)
		printf("in force: revision %llu\n", revision);
}

enum ctl_exit ctl_report_commit(struct ctl *c, const struct ctl_doc *base,
				const struct ctl_commit *commit)
{
	enum ctl_exit result = CTL_DONE;
	json_t *missing = NULL;

	if (commit->exit != CTL_DONE) {
		report_failure(c, base, commit);
		return commit->exit;
	}
	if (c->wait_ms)
		result = ctl_wait_in_force(c, commit->revision, &missing);
	if (!missing)
		missing = json_array();
	report_success(c, base, commit, result, missing);
	json_decref(missing);
	return result;
}
