#include "standins/common_history.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

FILE *common_history_open(const char *path, int append, struct err_info *info)
{
	FILE *f = fopen(path, append ? "ae" : "we");

	if (!f)
		err_set(info, ERR_SYSTEM, "%s: %s", path, strerror(errno));
	return f;
}

void common_history_write(FILE *f, json_t *line, int flush)
{
	char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;

	if (text)
		fprintf(f, "%s\n", text);
	if (flush)
		fflush(f);
	free(text);
	json_decref(line);
}

static enum err read_line(const char *path, size_t number, const char *text,
			  size_t len,
			  enum err (*fn)(const json_t *line, void *priv),
			  void *priv, struct err_info *info)
{
	json_t *line = json_loadb(text, len, 0, NULL);
	enum err e;

	if (!json_is_object(line)) {
		json_decref(line);
		return err_set(info, ERR_MALFORMED, "%s:%zu: no JSON object",
			       path, number);
	}
	e = fn(line, priv);
	json_decref(line);
	if (e != ERR_OK)
		err_set(info, e, "%s:%zu: %s", path, number, err_name(e));
	return e;
}

enum err common_history_read(const char *path,
			     enum err (*fn)(const json_t *line, void *priv),
			     void *priv, struct err_info *info)
{
	FILE *f = fopen(path, "re");
	enum err e = ERR_OK;
	char *text = NULL;
	size_t number = 0;
	size_t cap = 0;
	ssize_t len;

	if (!f)
		return err_set(info, ERR_SYSTEM, "%s: %s", path,
			       strerror(errno));
	while (e == ERR_OK && (len = getline(&text, &cap, f)) > 0) {
		number++;
		if (text[len - 1] != '\n')
			break;
		e = read_line(path, number, text, (size_t)len, fn, priv, info);
	}
	free(text);
	fclose(f);
	return e;
}

const char *common_history_get_text(const json_t *line, const char *name)
{
	const char *s = json_string_value(json_object_get(line, name));

	return s ? s : "";
}

int64_t common_history_get_number(const json_t *line, const char *name,
				  int64_t fallback)
{
	const json_t *v = json_object_get(line, name);

	return json_is_integer(v) ? json_integer_value(v) : fallback;
}

int common_history_get_flag(const json_t *line, const char *name)
{
	const json_t *v = json_object_get(line, name);

	return json_is_boolean(v) ? json_is_true(v) : -1;
}
